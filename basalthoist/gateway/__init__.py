"""Exchanges that a site cannot do itself reach another site's nodes, and the distance counts."""
