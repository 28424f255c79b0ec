"""The process: sockets, threads and clock around the slices."""
