"""The decisions and their interface; knows no wire, no clock and no process."""
