"""Keys to organisations; rate and burst over the fleet."""
