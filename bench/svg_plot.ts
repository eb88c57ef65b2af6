/** Draws cumulative distributions of times as an SVG, without a library. */

export interface PlotLine {
  readonly name: string;
  /** Milliseconds, sorted. */
  readonly valuesMs: readonly number[];
}

const WIDTH = 760;
const HEIGHT = 380;
const LEFT = 50;
const RIGHT = 200;
const TOP = 40;
const BOTTOM = 45;
const MOST_POINTS = 200;
const COLOURS = ['#888888', '#d08030', '#b04060', '#1060b0'];
const TICKS_MS = [100, 300, 1_000, 3_000, 10_000, 30_000, 100_000, 300_000];

/** Share of requests by time, on a logarithmic axis of time. */
export function plotDistributions(
  title: string,
  lines: readonly PlotLine[],
): string {
  const drawn = lines.filter(line => line.valuesMs.length > 0);
  const all = drawn.flatMap(line => line.valuesMs);
  const least = Math.max(1, Math.min(...all));
  const most = Math.max(least * 10, ...all);
  const xOf = (ms: number) =>
    LEFT +
    (Math.log(Math.max(ms, least) / least) / Math.log(most / least)) *
      (WIDTH - LEFT - RIGHT);
  const yOf = (share: number) =>
    HEIGHT - BOTTOM - share * (HEIGHT - TOP - BOTTOM);
  const ticks = TICKS_MS.filter(ms => ms >= least && ms <= most);
  return [
    `<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 ${WIDTH} ${HEIGHT}" font-family="sans-serif" font-size="12">`,
    `<rect width="${WIDTH}" height="${HEIGHT}" fill="white"/>`,
    text(LEFT, 20, title),
    ...ticks.map(ms => gridLine(xOf(ms), `${ms / 1_000} s`)),
    ...[0, 0.5, 0.95, 1].map(share => shareLine(yOf(share), share)),
    ...drawn.flatMap((line, at) => curve(line, at, xOf, yOf)),
    '</svg>\n',
  ].join('\n');
}

function curve(
  line: PlotLine,
  at: number,
  xOf: (ms: number) => number,
  yOf: (share: number) => number,
): readonly string[] {
  const {valuesMs, name} = line;
  const colour = COLOURS[at % COLOURS.length];
  const count = valuesMs.length;
  const every = Math.max(1, Math.ceil(count / MOST_POINTS));
  const points = valuesMs
    .map((ms, index) => ({ms, share: (index + 1) / count}))
    .filter((_, index) => index % every === 0 || index === count - 1)
    .map(({ms, share}) => `${xOf(ms).toFixed(1)},${yOf(share).toFixed(1)}`);
  const y = TOP + 20 + at * 18;
  return [
    `<polyline fill="none" stroke="${colour}" stroke-width="2" points="${points.join(' ')}"/>`,
    `<text x="${WIDTH - RIGHT + 15}" y="${y}" fill="${colour}">${escape(name)}</text>`,
  ];
}

function gridLine(x: number, label: string): string {
  const bottom = HEIGHT - BOTTOM;
  return (
    `<line x1="${x.toFixed(1)}" y1="${TOP}" x2="${x.toFixed(1)}" y2="${bottom}" stroke="#dddddd"/>` +
    text(x - 12, bottom + 18, label)
  );
}

function shareLine(y: number, share: number): string {
  return (
    `<line x1="${LEFT}" y1="${y.toFixed(1)}" x2="${WIDTH - RIGHT}" y2="${y.toFixed(1)}" stroke="#dddddd"/>` +
    text(10, y + 4, `${share * 100}%`)
  );
}

function text(x: number, y: number, content: string): string {
  return `<text x="${x.toFixed(1)}" y="${y.toFixed(1)}">${escape(content)}</text>`;
}

function escape(content: string): string {
  return content.replace(/&/g, '&amp;').replace(/</g, '&lt;');
}
