"""What stands on the sockets, read and written without touching one."""
