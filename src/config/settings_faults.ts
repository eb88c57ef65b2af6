/**
 * Faults of a settings file: reading the text with its line numbers, and
 * turning the schema's issues into faults that name the option and its mend.
 */
import {
  findNodeAtLocation,
  getNodeValue,
  parseTree,
  printParseErrorCode,
} from 'jsonc-parser';
import type {Node, ParseError} from 'jsonc-parser';
import type {z} from 'zod';
import {nearestName} from '../utils/nearest_name.js';
import {
  LIMIT_DEFAULTS,
  OPTION_EXAMPLES,
  OPTION_NAMES,
  TIMING_DEFAULTS,
} from './settings_schema.js';

/** One fault of a settings file. */
export interface SettingsFault {
  readonly file: string;
  /** Counts from 1; 0 when the file could not be read. */
  readonly line: number;
  /** Dotted path, such as `timing.holdMs`; empty for the whole file. */
  readonly option: string;
  readonly message: string;
  /** What to write instead. */
  readonly mend: string;
}

/** A parsed settings text that remembers where each option stands. */
export interface SettingsDocument {
  readonly file: string;
  /** As far as the text could be parsed. */
  readonly value: unknown;
  /** Faults of the text itself: syntax and doubled options. */
  readonly faults: readonly SettingsFault[];
  /** Line of an option, or of the nearest object around it. */
  lineOf(path: readonly PropertyKey[]): number;
  /** Whether the option is written in the file. */
  has(path: readonly PropertyKey[]): boolean;
}

type Issue = z.core.$ZodIssue;

/** Parses the text; comments and trailing commas are allowed. */
export function parseDocument(text: string, file: string): SettingsDocument {
  const errors: ParseError[] = [];
  const root = parseTree(text, errors, {allowTrailingComma: true});
  const lineAt = (offset: number) => text.slice(0, offset).split('\n').length;
  const nodeAt = (path: readonly PropertyKey[]) =>
    root && findNodeAtLocation(root, path.map(segment));
  const lineOf = (path: readonly PropertyKey[]): number => {
    const node = nodeAt(path);
    if (node !== undefined) return lineAt((node.parent ?? node).offset);
    return path.length === 0 ? 1 : lineOf(path.slice(0, -1));
  };
  const syntax = errors.map(error => ({
    file,
    line: lineAt(error.offset),
    option: '',
    message: `is not JSON with comments: ${syntaxMessage(error)}`,
    mend: 'mend the text at this line',
  }));
  const doubled = root === undefined ? [] : doubledOptions(root, '');
  return {
    file,
    value: root === undefined ? undefined : getNodeValue(root),
    faults: [
      ...syntax,
      ...doubled.map(({option, offset}) => ({
        file,
        line: lineAt(offset),
        option,
        message: 'is given twice',
        mend: 'keep one of the two lines',
      })),
    ],
    lineOf,
    has: path => nodeAt(path) !== undefined,
  };
}

/** Faults in the order of their lines. */
export function bySettingsLine(
  faults: readonly SettingsFault[],
): readonly SettingsFault[] {
  return [...faults].sort((a, b) => a.line - b.line);
}

/** One fault as a line of text. */
export function formatFault(fault: SettingsFault): string {
  const option = fault.option === '' ? '' : `${fault.option} `;
  return `${fault.file}:${fault.line}: ${option}${fault.message}; ${fault.mend}`;
}

/** All faults as text, one a line. */
export function formatFaults(faults: readonly SettingsFault[]): string {
  return faults.map(formatFault).join('\n');
}

/** Faults of the schema's issues. */
export function schemaFaults(
  document: SettingsDocument,
  issues: readonly Issue[],
): readonly SettingsFault[] {
  // A text with broken syntax loses options after the break: telling them as
  // missing would send the reader after faults that are not there.
  const broken = document.faults.some(fault => fault.option === '');
  return issues
    .filter(issue => !broken || document.has(issue.path))
    .flatMap(issue => issueFaults(document, issue));
}

function issueFaults(
  document: SettingsDocument,
  issue: Issue,
): readonly SettingsFault[] {
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map(key => unknownOption(document, issue.path, key));
  }
  const option = issue.path.join('.');
  const missing = issue.path.length > 0 && !document.has(issue.path);
  return [
    {
      file: document.file,
      line: document.lineOf(issue.path),
      option,
      message: missing ? 'is missing' : issueMessage(issue),
      mend: mendOf(option, issue, missing),
    },
  ];
}

function issueMessage(issue: Issue): string {
  switch (issue.code) {
    case 'invalid_type':
      return `is not ${typeName(issue.expected)}`;
    case 'invalid_value':
      return `is none of ${issue.values.map(value => JSON.stringify(value)).join(', ')}`;
    case 'too_small':
      return `is under ${issue.minimum}`;
    case 'too_big':
      return `is over ${issue.maximum}`;
    default:
      return issue.message;
  }
}

function typeName(expected: string): string {
  if (expected === 'int') return 'a whole number';
  const article = /^[aeiou]/.test(expected) ? 'an' : 'a';
  return `${article} ${expected}`;
}

function mendOf(option: string, issue: Issue, missing: boolean): string {
  if (option === '') return 'write one object with the options in it';
  if (issue.code === 'too_small' && issue.origin !== 'string') {
    return `write at least ${issue.minimum}`;
  }
  if (issue.code === 'too_big') return `write at most ${issue.maximum}`;
  const example = OPTION_EXAMPLES[option] ?? defaultOf(option);
  return missing ? `add it: ${example}` : `write ${example}`;
}

function defaultOf(option: string): string {
  const name = option.split('.').pop() ?? '';
  const defaults: Readonly<Record<string, number>> = {
    ...TIMING_DEFAULTS,
    ...LIMIT_DEFAULTS,
  };
  return `a whole number, such as the default ${defaults[name]}`;
}

/** Options that only one role has, for telling them from unknown ones. */
const ROLE_OF_OPTION: Readonly<Record<string, string>> = {
  'listen.callers': 'entry',
  upstream: 'side',
};

function unknownOption(
  document: SettingsDocument,
  path: readonly PropertyKey[],
  key: string,
): SettingsFault {
  const parent = path.join('.');
  const option = [...path, key].join('.');
  const role = ROLE_OF_OPTION[option];
  const nearest = nearestName(key, OPTION_NAMES[parent] ?? []);
  const at = {
    file: document.file,
    line: document.lineOf([...path, key]),
    option,
  };
  if (role !== undefined) {
    const mend = `remove it, or set role to "${role}"`;
    return {...at, message: `is an option of role "${role}" only`, mend};
  }
  if (option === 'log.file') {
    const mend = 'remove it; logs go to standard output';
    return {...at, message: 'is not an option', mend};
  }
  const mend =
    nearest === undefined ? 'remove it' : `did you mean "${nearest}"?`;
  return {...at, message: 'is not an option', mend};
}

interface DoubledOption {
  readonly option: string;
  readonly offset: number;
}

function doubledOptions(node: Node, path: string): readonly DoubledOption[] {
  const seen = new Set<string>();
  return (node.children ?? []).flatMap(child => {
    if (child.type !== 'property') return doubledOptions(child, path);
    const [key, value] = child.children ?? [];
    const name = String(key?.value);
    const option = path === '' ? name : `${path}.${name}`;
    const doubled = seen.has(name) ? [{option, offset: child.offset}] : [];
    seen.add(name);
    const inner = value === undefined ? [] : doubledOptions(value, option);
    return [...doubled, ...inner];
  });
}

function segment(key: PropertyKey): string | number {
  return typeof key === 'number' ? key : String(key);
}

/** `CommaExpected` as `comma expected`. */
function syntaxMessage(error: ParseError): string {
  return printParseErrorCode(error.error)
    .replace(/([a-z])([A-Z])/g, '$1 $2')
    .toLowerCase();
}
