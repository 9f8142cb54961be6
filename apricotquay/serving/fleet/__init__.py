"""The fleet: peers, owners of shards, the view of the platform, relays."""
