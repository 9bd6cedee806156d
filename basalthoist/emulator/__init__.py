"""A fleet in simulated time: the real decisions, with backends, network, discovery and clients as models."""
