"""Shared by pages with plots: matplotlib without a display, and figures as SVG for an HTML page."""

from __future__ import annotations

import io

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot as plt  # noqa: E402
from matplotlib.figure import Figure  # noqa: E402


def svg(figure: Figure) -> str:
    """Renders a figure as an SVG element without the XML header, and closes the figure."""
    out = io.StringIO()
    figure.savefig(out, format="svg")
    plt.close(figure)
    text = out.getvalue()
    return text[text.index("<svg") :]
