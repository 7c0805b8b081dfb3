"""The one place where configuration is read, checked and given defaults."""
