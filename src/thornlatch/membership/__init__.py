"""Which hosts are live: sessions, heartbeats, expulsion."""
