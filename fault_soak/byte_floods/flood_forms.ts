/** Forms in which a faulty party sends bytes until its reader closes. */

export interface FloodForm {
  /** Lines of the head that tell how long the body is. */
  readonly framing: readonly string[];
  /** The head itself has no end. */
  readonly isHeadEndless?: boolean;
  /** What comes first behind the head. */
  readonly opening?: string;
  /** The next of the pieces that follow one another. */
  piece(at: number): string;
}

const CHUNKED = ['Transfer-Encoding: chunked'];
const chunk = (text: string) => `${text.length.toString(16)}\r\n${text}\r\n`;
const same = (text: string) => () => text;

export const FLOOD_FORMS = {
  'header-line': {framing: ['X-Long: '], isHeadEndless: true, piece: same('x')},
  'chunk-size': {framing: CHUNKED, piece: same('z')},
  'one-chunk': {
    framing: CHUNKED,
    opening: 'fffffffffff\r\n',
    piece: same('x'),
  },
  'byte-chunks': {framing: CHUNKED, piece: same(chunk('x'))},
  'line-chunks': {framing: CHUNKED, piece: same(chunk('data: x\n'))},
  'event-pieces': {framing: CHUNKED, piece: same(chunk('piece x'))},
  'huge-length': {framing: ['Content-Length: 999999999999'], piece: same('x')},
  'no-length': {framing: ['Connection: close'], piece: same('x')},
  'whole-events': {
    framing: CHUNKED,
    piece: (at: number) => chunk(`id: ${at + 1}\ndata: x\n\n`),
  },
} as const satisfies Readonly<Record<string, FloodForm>>;

export type FloodName = keyof typeof FLOOD_FORMS;
export const FLOOD_NAMES = Object.keys(FLOOD_FORMS) as FloodName[];

const BLOCK_BYTES = 64 * 1024;

/** Returns the blocks of a form's endless bytes, one after the other. */
export function endlessBlocks({piece}: FloodForm): () => Buffer {
  let at = 0;
  let last: {readonly first: string; readonly block: Buffer} | undefined;
  return () => {
    const first = piece(at);
    // Most forms repeat one piece.
    if (last?.first === first) return last.block;
    const pieces: string[] = [];
    for (let bytes = 0; bytes < BLOCK_BYTES;) {
      const next = piece(at++);
      pieces.push(next);
      bytes += next.length;
    }
    const block = Buffer.from(pieces.join(''), 'latin1');
    last = {first, block};
    return block;
  };
}
