"""Fleet membership: the discovery client, the format of endpoint lists, and gossip between sidecars."""
