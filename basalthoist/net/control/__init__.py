"""The control plane of a node: admin interface, bans, gossip, fleet and distributed configuration."""
