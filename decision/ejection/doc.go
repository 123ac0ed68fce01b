// Package ejection decides which targets get no work because their tasks fail.
// A worker that fails every task quickly looks fast and lightly loaded, so that
// a choice by speed and queue length alone would send it more and more tasks.
//
// A target is ejected only in comparison with others: its failure ratio must be
// far above that of all others together, and another target must have succeeded
// at the same class of task. A job that fails everywhere therefore ejects no
// target. The bounded share of ejected targets and the growing ejection time
// follow the outlier detection of Envoy.
package ejection
