/**
 * Part of the build: compiles the bundled program and writes the compiled code.
 * V8 compiles a function when it is first called, so the program serves some
 * requests here at stand-ins of the users' store and replicas, and the compiled
 * code then contains what an entry needs from its start to its first answers.
 * Where the program does not become ready here, what was compiled is written.
 *
 * Usage: node write_code_cache.cjs PROGRAM SETTINGS CACHE. The settings file is
 * written here and is to be removed by the caller.
 */
import {readFileSync, renameSync, writeFileSync} from 'node:fs';
import {resolve} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {freeAddresses} from '../../demo/free_addresses.js';
import {compileProgram, encodeCodeCache} from '../../platform/code_cache.js';
import {announce, configOf} from './deployment.js';
import {SETTINGS_VARIABLE, callEntry, entrySettings} from './entry_program.js';
import {startReplica, streamTo} from './replica.js';
import {startStore} from './store.js';

/** Longest time for which the program serves requests, in milliseconds. */
const LIMIT_MS = 10_000;
/** Interval between two attempts of a request, in milliseconds. */
const RETRY_MS = 20;
/** Requests of each kind: a function may first be called by a later one. */
const ROUNDS = 5;
/** Paths of an answered call, a repeated call and a stream. */
const PATHS = ['/once/a', '/again/a', '/stream/a'];
const STREAM_EVENTS = 5;
/** Ports for callers, readiness checks, metrics and peers. */
const PORTS = 4;
/** Exit code when no compiled code could be written. */
const EXIT_NOT_WRITTEN = 1;

const [programPath, settingsPath, cachePath] = process.argv
  .slice(2)
  .map(path => resolve(path)) as [string, string, string];

async function main(): Promise<void> {
  const compiled = compileProgram(programPath, '');
  const write = () => {
    const code = compiled.script.createCachedData();
    const file = encodeCodeCache(readFileSync(programPath), code);
    writeFileSync(`${cachePath}.new`, file);
    renameSync(`${cachePath}.new`, cachePath);
    process.exit(0);
  };
  setTimeout(write, LIMIT_MS);
  const callers = await writeSettings();
  compiled.evaluate().main({codeCache: compiled.codeCache});
  for (let round = 0; round < ROUNDS; round++) {
    for (const path of PATHS) await callUntilAnswered(callers, path);
  }
  write();
}

/** Starts the stand-ins; returns the entry's address for callers. */
async function writeSettings(): Promise<string> {
  const store = await startStore();
  const [engine, service] = await Promise.all([
    startReplica('pool-0'),
    startReplica('desk-0'),
  ]);
  engine.behave(streamTo(STREAM_EVENTS));
  engine.answerState();
  announce(store, engine, 'pool');
  announce(store, service, 'desk');
  store.put('config', 'main', configOf(1));
  const addresses = await freeAddresses(PORTS);
  const settings = entrySettings({
    node: 'entry-1',
    store: store.address,
    addresses,
  });
  writeFileSync(settingsPath, JSON.stringify(settings));
  process.env[SETTINGS_VARIABLE] = settingsPath;
  return addresses[0] ?? '';
}

/** Repeats the request until it is answered with 200. */
async function callUntilAnswered(address: string, path: string): Promise<void> {
  while ((await callEntry(address, path, `build-${path}`)) !== 200) {
    await sleep(RETRY_MS);
  }
}

main().catch(err => {
  process.stderr.write(`no compiled code: ${String(err)}\n`);
  process.exit(EXIT_NOT_WRITTEN);
});
