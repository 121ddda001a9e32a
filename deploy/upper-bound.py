#!/usr/bin/env python3
"""Upper bound of the worth of played days, from what the bench prints.

  upper-bound.py FILE...    each the output of `fleetbench run SITE DAY --no-cpu --log all`

Assumptions, each in favour of the system, so that the bound is never below what can be reached:
- While no node runs (from a fault that takes all of them to the first start after it), nothing is answered in time; each
  request of that time is answered late, but for those that found no connection at either try.
- All other requests are answered completely and in time, also where targets are dark, slow or hand out wrong bytes.
- Of the prices only machine-seconds are paid, and half of the records of each gathered answer cross domains once, as
  every failure domain holds about half of the shards. Signatures, heads, heartbeats and store calls are free.
- The worst-served kind of request is served like the mean.
"""
import math, re, sys

LATE_WORTH = 0.1
RECORD_BYTES = 16
# Records of an answer, averaged over three full queries for each short one.
MEAN_RECORDS = (3 * 50 + 5) / 4
LOCAL_SHARE = 0.5


def parse(path):
    text = open(path, errors="replace").read()
    line = re.search(r"^worth (-?[\d.]+) = (.*)$", text, re.M)
    if not line:
        sys.exit(f"{path}: no line of worth; is this the output of a run?")
    parts = {n: (float(v), float(w)) for n, v, w in re.findall(r"([a-z ]+?) (-?[\d.]+) \(weight ([\d.]+)\)", line[2])}
    parts = {n.strip(): v for n, v in parts.items()}
    windows = [(float(m[1]), int(m[2]), float(m[3])) for m in re.finditer(
        r"^(\d+)\s+(\d+)(?:\s+\d+){5}\s+([\d.]+)\s+[\d.]+\s+[\d.]+$", text, re.M)]
    prices = [(n.strip(), float(p), float(a)) for p, a, n in re.findall(r"^  -([\d.]+)\s+(-?[\d.]+) (.*)$", text, re.M)]
    lost = re.search(r"last try 'no connection': (\d+)", text)
    off = re.search(r"^\s*([\d.]+) s to\s+[\d.]+ s  closing \(\w*_all\)", text, re.M)
    starts = [float(t) for t in re.findall(r'^\s*([\d.]+) \S+ \{"event":"daemon_started"', text, re.M)]
    span = None
    if off:
        back = [t for t in starts if t > float(off[1])]
        span = (float(off[1]), min(back)) if back else None
    answers = re.search(r"of (\d+) gathered answers", text)
    return float(line[1]), parts, windows, prices, int(lost[1]) if lost else 0, span, int(answers[1]) if answers else 0


def bound(path):
    worth, parts, windows, prices, unconnected, span, answers = parse(path)
    asked = sum(w[1] for w in windows)
    width = windows[1][0] - windows[0][0]
    credits, dark = [], 0.0
    for start, count, reached in windows:
        overlap = max(0.0, min(span[1], start + width) - max(span[0], start)) / width if span else 0.0
        dark += overlap * count
        credits.append(max(reached, 1 - overlap * (1 - LATE_WORTH)))
    whole = 1 - dark * (1 - LATE_WORTH) / asked
    worst = sum(sorted(credits)[:2]) / 2
    nines = min(1.0, -math.log10(max(unconnected / asked, 1e-3)) / 3)
    machines = sum(p for n, p, _ in prices if n == "machine-seconds")
    rate = [p / a for n, p, a in prices if n == "GB between zones" and a > 0]
    least = answers * MEAN_RECORDS * RECORD_BYTES * (1 - LOCAL_SHARE) / 1e9 * (rate[0] if rate else 0)
    ideal = {"whole day": whole, "worst windows": worst, "worst class": whole, "nines": nines}
    top = sum(max(ideal[n], v) * w for n, (v, w) in parts.items()) - machines - least
    spent = sum(p for _, p, _ in prices)
    gaps = {n: (max(ideal[n], v) - v) * w for n, (v, w) in parts.items()}
    return worth, top, span, dark / asked, gaps, spent - machines - least


def main():
    if len(sys.argv) < 2 or sys.argv[1].startswith("-"):
        sys.exit(__doc__)
    print(f"{'day':14} {'reached':>8} {'bound':>7} {'no node, s':>11} {'asked then':>11}   gap by part")
    for path in sys.argv[1:]:
        worth, top, span, share, gaps, prices = bound(path)
        name = path.rsplit("/", 1)[-1].rsplit(".", 1)[0]
        rows = ", ".join(f"{n} {g:.3f}" for n, g in gaps.items())
        print(f"{name:14} {worth:8.3f} {top:7.3f} {span[1] - span[0] if span else 0:11.2f} {share:11.3f}   {rows}, prices {prices:.3f}")


main()
