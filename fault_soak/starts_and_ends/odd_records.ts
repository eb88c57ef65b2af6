/** Records of another program that are well-formed, but odd in what they say. */
import type {Random} from '../../src/types/runtime.js';
import type {ForeignRecords} from '../stops_and_records/foreign_writer.js';

const NAMES = [
  '__proto__',
  'constructor',
  'a%2Fb',
  '..',
  'i-pool-0 ',
  'é'.repeat(300),
  '\u0000',
  '\ud800',
  'm-odd',
];

const SHALLOWEST = 20_000;
const DEEPEST = 480_000;
const ADDRESSES = [
  '127.0.0.1:99999',
  '127.0.0.1:-1',
  '127.0.0.1:0',
  '127.0.0.1:1e9',
  '999.1.1.1:80',
  '[::1]:80',
  ':',
  '',
];
const NUMBERS = ['1e400', '-1', '1e308', '0.5', '9007199254740993', '"4"'];

/** Each may be a megabyte, which the store sends to all entries. */
const MEAN_GAP_MS = 600;

/** None of them has a replica of a service that callers use. */
export const ODD_RECORDS: ForeignRecords = {
  names: NAMES,
  bytes: oddBytes,
  meanGapMs: MEAN_GAP_MS,
};

function oddBytes(random: Random): string {
  const one = <T>(all: readonly T[]): T =>
    all[Math.floor(random.next() * all.length)];
  const depth = Math.floor(
    SHALLOWEST + random.next() ** 2 * (DEEPEST - SHALLOWEST),
  );
  const nested = '['.repeat(depth) + ']'.repeat(depth);
  const address = JSON.stringify(one(ADDRESSES));
  const port = one(['99999', '-1', '0', '1.5', ...NUMBERS]);
  const node = JSON.stringify(one(NAMES));
  return one([
    nested,
    `{"service":"odd","address":"127.0.0.1:9","zone":"domain-1","slots":4,"more":${nested}}`,
    `{"service":"odd","address":${address},"zone":"domain-1","slots":4,"state":"ready"}`,
    `{"service":"odd","address":"127.0.0.1:9","zone":"domain-1","slots":${one(NUMBERS)},"born":${one(NUMBERS)},"coldLeftMs":${one(NUMBERS)}}`,
    `{"node":${node},"incarnation":"1","ip":"127.0.0.1","port":${port},"grantsPermits":true}`,
    `{"node":"odd","incarnation":"1","ip":${address},"port":9,"loadFormat":${one(NUMBERS)}}`,
    `{"version":${one(NUMBERS)},"routes":${nested},"services":[]}`,
    '{"__proto__":{"service":"odd"},"constructor":{}}',
    `{"version":1e400,"limits":{"maxBodyBytes":${one(NUMBERS)}}}`,
  ]);
}
