"""Cost slopes: what each part costs, measured at several sizes and fitted by straight lines."""
