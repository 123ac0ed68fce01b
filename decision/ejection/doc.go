// Package ejection decides which targets get no work because they fail what
// they are given. A worker that fails every task quickly looks the least
// loaded, so that speed and queue alone would send it more and more.
//
// A failure counts against a target only in comparison: the target must fail
// far more often than all others together, and another target must have
// succeeded at the same class of task. A job that fails everywhere therefore
// ejects nobody. The bounded share of ejected targets and the growing ejection
// time follow the outlier detection of Envoy.
package ejection
