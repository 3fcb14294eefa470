"""The decisions and their interface, independent of protocols, clocks and processes."""
