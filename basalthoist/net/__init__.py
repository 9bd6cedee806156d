"""Network I/O of a node, by the stages of a request. `basalthoist.decisions` decides where requests go."""
