"""What the pages with plots share: matplotlib without a display, and a figure as SVG for a page of HTML."""

from __future__ import annotations

import io

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot as plt  # noqa: E402
from matplotlib.figure import Figure  # noqa: E402


def svg(figure: Figure) -> str:
    """The figure as an SVG element, without the XML header before it; the figure is closed."""
    out = io.StringIO()
    figure.savefig(out, format="svg")
    plt.close(figure)
    text = out.getvalue()
    return text[text.index("<svg") :]
