/** Parsing and validation of settings files. */
import {readFileSync} from 'node:fs';
import {describe, expect, test} from 'vitest';
import {parseSettings} from '../src/config/settings.js';
import {formatFaults} from '../src/config/settings_faults.js';
import {
  LIMIT_DEFAULTS,
  OPTION_NAMES,
  TIMING_DEFAULTS,
} from '../src/config/settings_schema.js';

const HASH = `sha256$${'ab'.repeat(16)}$${'cd'.repeat(32)}`;

const ENTRY = `{
  // An entry in the north hall.
  "role": "entry",
  "node": "entry-north-1",
  "host": "north-entry-1",
  "failureDomain": "hall-north",
  "listen": {
    "callers": "10.1.0.5:7100",
    "operators": "10.1.0.5:7200",
    "peers": "10.1.0.5:7300",
  },
  "platform": {
    "objectApi": "http://10.9.0.1:8001",
    "hostList": "http://10.9.0.1:8002",
    "weightStore": "http://10.9.0.1:8003"
  },
  "operatorTokenHash": "${HASH}"
}`;

const WRONG_SIDE = `{
  "role": "side",
  "node": "side one",
  "host": 7,
  "listen": {
    "callers": "10.1.0.7:7100",
    "operators": "localhost:7200",
    "peers": "0.0.0.0:7300"
  },
  "platform": {
    "objectApi": "10.9.0.1:8001",
    "hostList": "http://10.9.0.1:8002",
    "hostlist": "http://10.9.0.1:8002"
  },
  "upstream": {
    "kind": "service",
    "pool": "station-app",
    "url": "http://127.0.0.1:9000",
    "refusesOldFence": true
  },
  "operatorTokenHash": "secret",
  "timing": {
    "heartBeatMs": 500,
    "holdMs": 1500,
    "suspectAfterMs": 900,
    "drainMs": -1
  },
  "limits": {"maxBodyBytes": "8 MB", "followReplicas": 1.5},
  "log": {"level": "loud", "file": "/var/log/onyxloft"},
  "node": "side-1",
  "telemetry": {}
}`;

function sideWith(line: string): string {
  return `{
    "role": "side", "node": "side-1", "host": "host-1", ${line}
    "failureDomain": "hall-north",
    "listen": {"operators": "10.1.0.7:7200", "peers": "10.1.0.7:7300"},
    "platform": {
      "objectApi": "http://10.9.0.1:8001",
      "hostList": "http://10.9.0.1:8002",
      "weightStore": "http://10.9.0.1:8003"
    },
    "upstream": {
      "kind": "engine", "pool": "onyx-pool", "url": "http://127.0.0.1:9000"
    }
  }`;
}

const BROKEN_TEXT = `{
  "role": "side"
  "node": "side one",
`;

function faultsOf(text: string): string {
  const faults = parseSettings(text, 'side.jsonc').swap().orDefault([]);
  return `${formatFaults(faults)}\n`;
}

describe('settings', () => {
  test('a valid file is parsed with all defaults', async () => {
    const settings = parseSettings(ENTRY, 'entry.jsonc').extract();
    const text = JSON.stringify(settings, null, 2) + '\n';
    await expect(text).toMatchFileSnapshot('golden/settings_entry.json');
  });

  test('all faults of a file are reported at once, with line and mend', async () => {
    const faults = faultsOf(WRONG_SIDE);
    await expect(faults).toMatchFileSnapshot('golden/settings_faults.txt');
  });

  test.each([
    ['with', `"operatorTokenHash": "${HASH}",`, HASH],
    ['without', '', undefined],
  ])(
    'the settings of a side are valid %s a token for its operators',
    (_, line, hash) => {
      const settings = parseSettings(sideWith(line), 'side.jsonc');
      expect(settings.unsafeCoerce().operatorTokenHash).toBe(hash);
    },
  );

  test('a token is never shown in a fault', () => {
    expect(faultsOf(WRONG_SIDE)).not.toContain('secret');
  });

  test('options after a syntax error are not reported as missing', () => {
    const faults = faultsOf(BROKEN_TEXT);
    expect(faults).toContain('side.jsonc:3: is not JSON');
    expect(faults).not.toContain('is missing');
  });

  test('docs/settings.md lists exactly the options, with their defaults', () => {
    const docs = readFileSync('docs/settings.md', 'utf8');
    const rows = [...docs.matchAll(/^\| `([\w.]+)` \| [^|]+ \| ([^|]+) \|/gm)];
    const known = Object.entries(OPTION_NAMES).flatMap(([parent, names]) =>
      names
        .map(name => (parent === '' ? name : `${parent}.${name}`))
        .filter(option => !(option in OPTION_NAMES)),
    );
    expect(rows.map(row => row[1]).sort()).toEqual(known.sort());
    const defaults = new Map(rows.map(row => [row[1], row[2]]));
    for (const [name, value] of Object.entries(TIMING_DEFAULTS)) {
      expect(defaults.get(`timing.${name}`)).toBe(`\`${value}\``);
    }
    for (const [name, value] of Object.entries(LIMIT_DEFAULTS)) {
      expect(defaults.get(`limits.${name}`)).toBe(`\`${value}\``);
    }
  });
});
