"""Sockets: the listener, connections, pools, and the count of descriptors."""
