/**
 * Faults of a settings file. This module parses the text with its line numbers,
 * and converts schema issues into faults. A fault names the line, the option,
 * the problem, and the mend (what to do about it).
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
  /**
   * Line number from 1. `createUnreadableFault` in `settings.ts` sets 0 when
   * the file could not be read.
   */
  readonly line: number;
  /**
   * Dotted path, such as `timing.holdMs`. Empty when the fault is in the syntax
   * of the text or concerns the whole file.
   */
  readonly option: string;
  readonly message: string;
  /** What to do about it, such as what to write instead. */
  readonly mend: string;
}

/** A parsed settings file, with the line of each option. */
export interface SettingsDocument {
  readonly file: string;
  /** The parsed value. After a syntax error it may be incomplete. */
  readonly value: unknown;
  /** Faults of the text itself: syntax errors and duplicate options. */
  readonly faults: readonly SettingsFault[];
  /**
   * Returns the line of an option's name, or for an element of an array the
   * line where the array starts. For an option that the file does not contain,
   * returns the line of the nearest enclosing option, or else the line where
   * the file's value starts; 1 when there is no value.
   */
  lineOf(path: readonly PropertyKey[]): number;
  /** Returns whether the file contains the option. */
  has(path: readonly PropertyKey[]): boolean;
}

type Issue = z.core.$ZodIssue;

/** Parses the text. Comments and trailing commas are allowed. */
export function parseDocument(text: string, file: string): SettingsDocument {
  const errors: ParseError[] = [];
  const root = parseTree(text, errors, {allowTrailingComma: true});
  const lineAt = (offset: number) => text.slice(0, offset).split('\n').length;
  const nodeAt = (path: readonly PropertyKey[]) =>
    root && findNodeAtLocation(root, path.map(toPathSegment));
  const lineOf = (path: readonly PropertyKey[]): number => {
    const node = nodeAt(path);
    if (node !== undefined) return lineAt((node.parent ?? node).offset);
    return path.length === 0 ? 1 : lineOf(path.slice(0, -1));
  };
  const syntaxFaults = errors.map(error => ({
    file,
    line: lineAt(error.offset),
    option: '',
    message: `is not JSON with comments: ${syntaxMessage(error)}`,
    mend: 'correct the text at this line',
  }));
  const duplicates = root === undefined ? [] : duplicateOptions(root, '');
  return {
    file,
    value: root === undefined ? undefined : getNodeValue(root),
    faults: [
      ...syntaxFaults,
      ...duplicates.map(({option, offset}) => ({
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

/** Returns the faults sorted by line. */
export function sortByLine(
  faults: readonly SettingsFault[],
): readonly SettingsFault[] {
  return [...faults].sort((a, b) => a.line - b.line);
}

/** Formats one fault as a line of text. */
export function formatFault(fault: SettingsFault): string {
  const option = fault.option === '' ? '' : `${fault.option} `;
  return `${fault.file}:${fault.line}: ${option}${fault.message}; ${fault.mend}`;
}

/** Formats faults as text, one per line. */
export function formatFaults(faults: readonly SettingsFault[]): string {
  return faults.map(formatFault).join('\n');
}

/** Converts the issues that the schema found into faults. */
export function schemaFaults(
  document: SettingsDocument,
  issues: readonly Issue[],
): readonly SettingsFault[] {
  // After a syntax error, the parser may lose options. They must not be
  // reported as missing, since they may be present in the file. Among the
  // faults of the text, syntax errors have no option and duplicates have one.
  const hasSyntaxFault = document.faults.some(fault => fault.option === '');
  return issues
    .filter(issue => !hasSyntaxFault || document.has(issue.path))
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
  const example = OPTION_EXAMPLES[option] ?? defaultExample(option);
  return missing ? `add it: ${example}` : `write ${example}`;
}

/**
 * Describes a value of an option that is not in `OPTION_EXAMPLES`. These are
 * the options of `timing` and `limits`, and each of them has a default.
 */
function defaultExample(option: string): string {
  const name = option.split('.').pop() ?? '';
  const defaults: Readonly<Record<string, number>> = {
    ...TIMING_DEFAULTS,
    ...LIMIT_DEFAULTS,
  };
  return `a whole number, such as the default ${defaults[name]}`;
}

/**
 * The role of each option that only one role has. When the option is given in
 * the other role, the fault names the role that has it.
 */
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
  // There is no such option. The mend says where the logs go instead.
  if (option === 'log.file') {
    const mend = 'remove it; logs go to standard output';
    return {...at, message: 'is not an option', mend};
  }
  const mend =
    nearest === undefined ? 'remove it' : `did you mean "${nearest}"?`;
  return {...at, message: 'is not an option', mend};
}

/** An option that an object contains a second time. */
interface DuplicateOption {
  /** Dotted path of the option. */
  readonly option: string;
  /** Position of the second one in the text, in characters. */
  readonly offset: number;
}

function duplicateOptions(
  node: Node,
  path: string,
): readonly DuplicateOption[] {
  const seen = new Set<string>();
  return (node.children ?? []).flatMap(child => {
    if (child.type !== 'property') return duplicateOptions(child, path);
    const [key, value] = child.children ?? [];
    const name = String(key?.value);
    const option = path === '' ? name : `${path}.${name}`;
    const duplicate = seen.has(name) ? [{option, offset: child.offset}] : [];
    seen.add(name);
    const inner = value === undefined ? [] : duplicateOptions(value, option);
    return [...duplicate, ...inner];
  });
}

function toPathSegment(key: PropertyKey): string | number {
  return typeof key === 'number' ? key : String(key);
}

/** Converts a parser code such as `CommaExpected` to `comma expected`. */
function syntaxMessage(error: ParseError): string {
  return printParseErrorCode(error.error)
    .replace(/([a-z])([A-Z])/g, '$1 $2')
    .toLowerCase();
}
