"""The lab: starts, disturbs, loads and counts many processes of the program, and is no part of it."""
