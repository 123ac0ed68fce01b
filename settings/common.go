package settings

// processSettings are the settings that an entry and a sidecar have in common.
type processSettings struct {
	listeners       []listener
	rpcListen       string
	rpcAdvertise    *string
	shutdownTimeout Duration
	secret          *string
	secretFile      string
}

// complete checks the fields against each other and reads the secret, whose file
// is found from dir.
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
