/**
 * Runs all tests. Failures that KNOWN-RED.txt lists are printed and passed
 * over; any other failure, and a run that ends without a report, fails.
 */
import {spawnSync} from 'node:child_process';
import {mkdirSync, readFileSync, rmSync} from 'node:fs';
import {join, relative} from 'node:path';
import process from 'node:process';

const REPORT = join('.cache', 'tests.json');

/** "FILE > NAME" of each listed test. */
function knownRed() {
  return readFileSync('KNOWN-RED.txt', 'utf8')
    .split('\n')
    .filter(line => line !== '' && !line.startsWith('#'))
    .map(line => line.split(' | ')[0].trim());
}

/** "FILE > NAME" of each test. */
function namedIn(report) {
  return report.testResults.flatMap(({name, assertionResults}) =>
    assertionResults.map(test => `${relative('.', name)} > ${test.fullName}`),
  );
}

/** What became of a listed failure; some are of runs that are started by hand. */
function outcomeOf(test) {
  if (failed.includes(test)) return 'failed';
  return named.includes(test) ? 'passed' : 'not run here';
}

/** "FILE > NAME" of each failed test; a file that did not load is its name. */
function failedIn(report) {
  return report.testResults.flatMap(({name, status, assertionResults}) => {
    const file = relative('.', name);
    const failed = assertionResults
      .filter(test => test.status === 'failed')
      .map(test => `${file} > ${test.fullName}`);
    return status === 'failed' && failed.length === 0 ? [file] : failed;
  });
}

mkdirSync('.cache', {recursive: true});
rmSync(REPORT, {force: true});
const reporters = ['--reporter=default', '--reporter=json'];
const run = spawnSync(
  'npx',
  ['vitest', 'run', ...reporters, `--outputFile.json=${REPORT}`],
  {stdio: 'inherit'},
);
const report = JSON.parse(readFileSync(REPORT, 'utf8'));
const known = new Set(knownRed());
const failed = failedIn(report);
const named = namedIn(report);
const unknown = failed.filter(test => !known.has(test));
for (const test of known) {
  process.stdout.write(`known red: ${test}: ${outcomeOf(test)}\n`);
}
const {numPassedTests, numFailedTests} = report;
process.stdout.write(`${numPassedTests} passed, ${numFailedTests} failed\n`);
// Errors outside of tests fail a run in which every test passed.
const strayError = run.status !== 0 && failed.length === 0;
process.exitCode = unknown.length > 0 || strayError ? 1 : 0;
