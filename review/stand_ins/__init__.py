"""Stand-ins for the clients, the servers, discovery and the platform of a sidecar. Standard library only."""
