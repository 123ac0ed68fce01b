package settings

// processSettings are the settings that entries and sidecars share.
type processSettings struct {
	listeners       []listener
	rpcListen       string
	rpcAdvertise    *string
	shutdownTimeout Duration
	secret          *string
	secretFile      string
}

// complete validates the fields against each other, sets rpcAdvertise to its
// default and reads the secret. The secret file is relative to dir.
func (p processSettings) complete(dir string) error {
	if err := checkListeners(p.listeners); err != nil {
		return err
	}
	if err := checkAdvertisedAddress(p.rpcListen, *p.rpcAdvertise); err != nil {
		return err
	}
	if *p.rpcAdvertise == "" {
		*p.rpcAdvertise = p.rpcListen
	}
	if err := checkShutdownTimeout(p.shutdownTimeout); err != nil {
		return err
	}
	secret, err := resolveSecret(dir, *p.secret, p.secretFile)
	if err != nil {
		return err
	}
	*p.secret = secret
	return nil
}
