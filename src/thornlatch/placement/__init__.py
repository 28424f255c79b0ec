"""Which adapter versions sit on which targets; loads and evictions."""
