"""Where endpoint lists come from: discovery's client, the form of its lists, and gossip between sidecars."""
