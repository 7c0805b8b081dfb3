"""Scale tests: what one cost becomes by size, measured at several sizes and fitted."""
