/** The examples are valid settings and declarations for a deployment. */
import {readFileSync, readdirSync} from 'node:fs';
import {parse} from 'jsonc-parser';
import type {ParseError} from 'jsonc-parser';
import {describe, expect, test} from 'vitest';
import type {Either} from 'purify-ts';
import {createInitialDeclarations} from '../src/config/declarations_schema.js';
import {patchDeclarations} from '../src/config/patch.js';
import {loadSettings} from '../src/config/settings.js';
import {countLiveHosts} from '../src/config/validate.js';
import type {Declarations} from '../src/types/config.js';
import type {HostInfo} from '../src/types/platform.js';
import type {ConfigFault} from '../src/types/services.js';
import {parseKeyHash} from '../src/utils/keys.js';
import {runToolWith} from './support/run_tool.js';

const DEPLOYMENTS = [
  ['prairie-sky', {entry: 3, 'onyx-pool': 16, 'station-app': 3}],
  ['ingufu-hamwe', {entry: 3, 'onyx-pool': 21, 'plan-desk': 3}],
] as const;

function settingsFiles(deployment: string): readonly string[] {
  return readdirSync(`examples/${deployment}`)
    .filter(name => /^(entry|side)-/.test(name))
    .map(name => `examples/${deployment}/${name}`);
}

function readJsonc(file: string): unknown {
  const errors: ParseError[] = [];
  const text = readFileSync(file, 'utf8');
  const value: unknown = parse(text, errors, {allowTrailingComma: true});
  expect(errors).toEqual([]);
  return value;
}

/** Applies the declarations of an example to number 0, on the given hosts. */
function declare(
  deployment: string,
  hosts: readonly HostInfo[],
): Either<readonly ConfigFault[], Declarations> {
  const patch = JSON.stringify(
    readJsonc(`examples/${deployment}/declarations.jsonc`),
  );
  return patchDeclarations(
    createInitialDeclarations(),
    {form: 'merge-patch', patch},
    countLiveHosts(hosts),
  ).map(({declarations}) => declarations);
}

describe.each(DEPLOYMENTS)('example %s', (deployment, pools) => {
  const hosts = readJsonc(
    `examples/${deployment}/hosts.jsonc`,
  ) as readonly HostInfo[];

  test('all settings pass "settings check"', async () => {
    const files = settingsFiles(deployment);
    const run = await runToolWith(['settings', 'check', ...files]);
    expect(run).toMatchObject({code: 0, stderr: ''});
    expect(files).toHaveLength(9);
  });

  test('hosts.jsonc has the full size of each pool and each host once', () => {
    const counts: Record<string, number> = {};
    for (const {pool} of hosts) counts[pool] = (counts[pool] ?? 0) + 1;
    expect(counts).toEqual(pools);
    expect(new Set(hosts.map(host => host.host)).size).toBe(hosts.length);
    expect(new Set(hosts.map(host => host.address)).size).toBe(hosts.length);
  });

  test('settings and host list agree on host, address and failure domain', () => {
    for (const file of settingsFiles(deployment)) {
      const settings = loadSettings(file).unsafeCoerce();
      expect(hosts).toContainEqual({
        host: settings.host,
        address: settings.advertise.peers,
        failureDomain: settings.failureDomain,
        pool: settings.role === 'side' ? settings.upstream.pool : 'entry',
        state: 'live',
      });
    }
  });

  test('declarations refer to existing pools and leave memory without a floor', () => {
    const declared = declare(deployment, hosts).unsafeCoerce();
    expect(declared.organisations).toHaveLength(10);
    const hashes = declared.organisations.flatMap(org => org.keyHashes);
    expect(hashes.filter(hash => parseKeyHash(hash).isNothing())).toEqual([]);
    const floors = declared.lengthClasses.map(each => each.memoryFloor);
    expect(floors.reduce((sum, floor) => sum + floor, 0)).toBeLessThan(0.5);
    const limits = declared.lengthClasses.map(each => each.maxTokens);
    expect(limits).toEqual([8_000, 32_000, 128_000, 1_000_000]);
    expect(declared.models.filter(model => model.isDefault)).toHaveLength(1);
    for (const {pool, minReplicas} of declared.placement) {
      const there = hosts.filter(host => host.pool === pool).length;
      expect(minReplicas).toBeLessThanOrEqual(there);
    }
    for (const {pool} of declared.services) expect(pools).toHaveProperty(pool);
    const classes = declared.priorityClasses.map(({name}) => name);
    expect(classes).toEqual(['alert', 'interactive', 'batch']);
  });

  test('declarations are refused when a pool has no live hosts', () => {
    const few = hosts.filter(host => host.pool !== 'onyx-pool');
    const faults = declare(deployment, few).swap().unsafeCoerce();
    expect(faults.map(({path}) => path)).toContain(
      '/placement/onyx-pool/onyx-large',
    );
  });
});
