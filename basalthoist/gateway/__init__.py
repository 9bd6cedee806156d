"""Spill to other sites: requests that a site cannot serve are sent to the nodes of another site."""
