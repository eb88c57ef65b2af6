/**
 * Schema of the settings file: the bounds and defaults of each option, and an
 * example of its value, which faults show as the mend. The types and the
 * meaning of the options are in `settings.ts`.
 */
import {isIP} from 'node:net';
import {z} from 'zod';
import {parseKeyHash} from '../utils/keys.js';

const NAME_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/;
const MAX_PORT = 65_535;
const HOUR_MS = 3_600_000;
const MEBIBYTE = 1_048_576;

/** IP and port of an address. */
export interface AddressParts {
  readonly ip: string;
  readonly port: number;
}

/** Splits `ip:port` or `[ipv6]:port`. Returns undefined for other text. */
export function splitAddress(address: string): AddressParts | undefined {
  const match = /^(?:\[([^\]]+)\]|([^:]+)):(\d{1,5})$/.exec(address);
  if (match === null) return undefined;
  const ip = match[1] ?? match[2] ?? '';
  const port = Number(match[3]);
  const family = match[1] === undefined ? 4 : 6;
  if (isIP(ip) !== family || port > MAX_PORT) return undefined;
  return {ip, port};
}

function isHttpUrl(text: string): boolean {
  const url = URL.canParse(text) ? new URL(text) : undefined;
  return url?.protocol === 'http:' || url?.protocol === 'https:';
}

const name = z
  .string()
  .regex(
    NAME_PATTERN,
    'is not a name of 1 to 63 letters, digits, ".", "_" and "-"',
  );
const address = z
  .string()
  .refine(
    text => splitAddress(text) !== undefined,
    'is not a numeric IP and port',
  );
const url = z.string().refine(isHttpUrl, 'is not an http or https URL');
const path = z.string().min(1);
const keyHash = z
  .string()
  .refine(
    text => parseKeyHash(text).isJust(),
    'is not a salted hash of a token',
  );

const ms = (max: number) => z.int().min(1).max(max);
const timing = z.strictObject({
  heartbeatMs: ms(60_000).default(1_000),
  suspectAfterMs: ms(HOUR_MS).default(3_000),
  holdMs: ms(HOUR_MS).default(10_000),
  offerLapseMs: ms(60_000).default(1_000),
  tombstoneMs: ms(24 * HOUR_MS).default(120_000),
  channelSilenceMs: ms(HOUR_MS).default(3_000),
  peerTimeoutMs: ms(60_000).default(2_000),
  hostListPollMs: ms(HOUR_MS).default(2_000),
  drainMs: ms(24 * HOUR_MS).default(600_000),
});

const limits = z.strictObject({
  maxBodyBytes: z
    .int()
    .min(1024)
    .max(1024 * MEBIBYTE)
    .default(8_388_608),
  maxHeaderBytes: z.int().min(1024).max(MEBIBYTE).default(16_384),
  bodyTimeoutMs: ms(HOUR_MS).default(30_000),
  followReplicas: z.int().min(1).max(1024).default(24),
  maxOpenRequests: z.int().min(1).max(1_000_000).default(4_096),
});

const common = {
  node: name,
  host: name,
  failureDomain: name,
  advertise: z.strictObject({peers: address}).optional(),
  platform: z.strictObject({objectApi: url, hostList: url, weightStore: url}),
  tls: z.strictObject({certFile: path, keyFile: path, caFile: path}).optional(),
  timing: timing.prefault({}),
  limits: limits.prefault({}),
  log: z
    .strictObject({
      level: z.enum(['error', 'warn', 'info', 'debug']).default('info'),
    })
    .prefault({}),
};

const entrySchema = z
  .strictObject({
    role: z.literal('entry'),
    ...common,
    listen: z.strictObject({
      callers: address,
      operators: address,
      peers: address,
    }),
    operatorTokenHash: keyHash,
  })
  .transform(withAdvertise);

const sideSchema = z
  .strictObject({
    role: z.literal('side'),
    ...common,
    listen: z.strictObject({operators: address, peers: address}),
    operatorTokenHash: keyHash.optional(),
    upstream: z.strictObject({
      kind: z.enum(['engine', 'service']),
      pool: name,
      url,
      refusesOldFence: z.boolean().default(false),
    }),
  })
  .transform(withAdvertise);

/** Schema for a file without a known role. Checks only the common options. */
const unknownRoleSchema = z
  .strictObject({
    role: z.enum(['entry', 'side']),
    ...common,
    listen: z.strictObject({
      callers: address.optional(),
      operators: address,
      peers: address,
    }),
    operatorTokenHash: keyHash.optional(),
    upstream: z.unknown().optional(),
  })
  .transform(withAdvertise);

function withAdvertise<
  T extends {
    readonly listen: {readonly peers: string};
    readonly advertise?: {readonly peers: string} | undefined;
  },
>(settings: T) {
  return {
    ...settings,
    advertise: settings.advertise ?? {peers: settings.listen.peers},
  };
}

/** Returns the schema for the role that the file names. */
export function settingsSchemaOf(value: unknown) {
  const role = (value as {readonly role?: unknown} | null | undefined)?.role;
  if (role === 'entry') return entrySchema;
  if (role === 'side') return sideSchema;
  return unknownRoleSchema;
}

/** Example of each option's value, shown in a fault's mend. */
export const OPTION_EXAMPLES: Readonly<Record<string, string>> = {
  role: '"entry" or "side"',
  node: 'a name unique in the deployment, such as "entry-north-1"',
  host: 'the name in the host list, such as "north-entry-1"',
  failureDomain: 'a name, such as "hall-north"',
  listen: '{"operators": "10.0.0.5:7200", "peers": "10.0.0.5:7300"}',
  'listen.callers': 'a numeric IP and port, such as "10.0.0.5:7100"',
  'listen.operators': 'a numeric IP and port, such as "10.0.0.5:7200"',
  'listen.peers': 'a numeric IP and port, such as "10.0.0.5:7300"',
  advertise: '{"peers": "10.0.0.5:7300"}',
  'advertise.peers': 'a numeric IP and port, such as "10.0.0.5:7300"',
  platform:
    '{"objectApi": "http://10.0.9.1:8001", "hostList": "http://10.0.9.1:8002", "weightStore": "http://10.0.9.1:8003"}',
  'platform.objectApi': 'a URL, such as "http://10.0.9.1:8001"',
  'platform.hostList': 'a URL, such as "http://10.0.9.1:8002"',
  'platform.weightStore': 'a URL, such as "http://10.0.9.1:8003"',
  upstream:
    '{"kind": "engine", "pool": "onyx-pool", "url": "http://127.0.0.1:9000"}',
  'upstream.kind': '"engine" or "service"',
  'upstream.pool': 'a name, such as "onyx-pool"',
  'upstream.url': 'a URL, such as "http://127.0.0.1:9000"',
  'upstream.refusesOldFence': 'true or false',
  operatorTokenHash: 'the hash that "onyxloft key generate" prints',
  tls: '{"certFile": "…", "keyFile": "…", "caFile": "…"}',
  'tls.certFile': 'the path of a PEM file',
  'tls.keyFile': 'the path of a PEM file',
  'tls.caFile': 'the path of a PEM file',
  timing: 'an object of times in milliseconds, such as {"heartbeatMs": 1000}',
  limits: 'an object, such as {"maxOpenRequests": 4096}',
  log: '{"level": "info"}',
  'log.level': '"error", "warn", "info" or "debug"',
};

/** Option names under each path, for suggesting one for an unknown option. */
export const OPTION_NAMES: Readonly<Record<string, readonly string[]>> = {
  '': [
    'role',
    ...Object.keys(common),
    'listen',
    'upstream',
    'operatorTokenHash',
  ],
  listen: ['callers', 'operators', 'peers'],
  advertise: ['peers'],
  platform: ['objectApi', 'hostList', 'weightStore'],
  upstream: ['kind', 'pool', 'url', 'refusesOldFence'],
  tls: ['certFile', 'keyFile', 'caFile'],
  timing: Object.keys(timing.shape),
  limits: Object.keys(limits.shape),
  log: ['level'],
};

/** Defaults of the timing options, in milliseconds. */
export const TIMING_DEFAULTS = timing.parse({});
/** Defaults of the limits. */
export const LIMIT_DEFAULTS = limits.parse({});
