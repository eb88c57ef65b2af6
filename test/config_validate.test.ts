import {describe, expect, it} from 'vitest';
import {createInitialDeclarations} from '../src/config/declarations_schema.js';
import {
  joinDocuments,
  createManifest,
  splitDeclarations,
} from '../src/config/documents.js';
import {patchDeclarations} from '../src/config/patch.js';
import {countLiveHosts} from '../src/config/validate.js';
import type {Declarations} from '../src/types/config.js';
import type {HostInfo} from '../src/types/platform.js';

const MODEL = {version: '1', weightBytes: 1e9, isDefault: true};

function merge(base: Declarations, patch: unknown) {
  return patchDeclarations(base, {
    form: 'merge-patch',
    patch: JSON.stringify(patch),
  });
}

function accepted(base: Declarations, patch: unknown): Declarations {
  return merge(base, patch).unsafeCoerce().declarations;
}

function faultPaths(patch: unknown): readonly string[] {
  return merge(createInitialDeclarations(), patch)
    .swap()
    .unsafeCoerce()
    .map(fault => fault.path);
}

describe('validation', () => {
  it('reports every fault at once with its path and a mend', () => {
    const faults = merge(createInitialDeclarations(), {
      models: {a: MODEL, b: MODEL},
      priorityClasses: {urgent: {isDefault: true}},
      lengthClasses: {
        short: {memoryFloor: 0.7},
        medium: {maxTokens: 8_000, memoryFloor: 0.6},
      },
      organisations: {x: {keyHashes: ['k']}, y: {keyHashes: ['k']}},
      services: {'plan-desk': {}},
      placement: {
        'plan-desk': {a: {minReplicas: 1}},
        'onyx-pool': {gone: {minReplicas: 1}},
      },
      policy: {routing: 'by-luck'},
    })
      .swap()
      .unsafeCoerce();
    expect(faults).toMatchInlineSnapshot(`
      [
        {
          "mend": "set isDefault to false on all models but one",
          "message": ""a" is the default model already",
          "path": "/models/b/isDefault",
        },
        {
          "mend": "set isDefault to false on all priority classes but one",
          "message": ""urgent" is the default priority class already",
          "path": "/priorityClasses/normal/isDefault",
        },
        {
          "mend": "give each length class a maxTokens of its own",
          "message": "8000 is not over the 8000 of "medium"",
          "path": "/lengthClasses/short/maxTokens",
        },
        {
          "mend": "lower memoryFloor until the sum is 1 at most",
          "message": "memory floors add up to 1.300 of an engine",
          "path": "/lengthClasses",
        },
        {
          "mend": "give each organisation keys of its own",
          "message": "the same key is declared for "x"",
          "path": "/organisations/y/keyHashes/0",
        },
        {
          "mend": "declare the model in the same patch, or remove this wish",
          "message": "there is no model "gone"",
          "path": "/placement/onyx-pool/gone",
        },
        {
          "mend": "name a pool of model engines, or remove this wish",
          "message": ""plan-desk" is not a pool of model engines",
          "path": "/placement/plan-desk/a",
        },
        {
          "mend": "write one of predicted-first-token, least-requests, round-robin, random-pair, prefix-only",
          "message": "there is no routing policy "by-luck"",
          "path": "/policy/routing",
        },
      ]
    `);
    expect(faults.every(fault => fault.mend !== '')).toBe(true);
  });

  it('reports the paths of fields of the wrong type and of unknown fields', () => {
    expect(
      faultPaths({
        organisations: {'prairie-sky': {weight: -1, colour: 'blue'}},
        models: {'a/b': {version: 1, weightBytes: 1}},
      }),
    ).toEqual([
      '/organisations/prairie-sky/weight',
      '/organisations/prairie-sky/colour',
      '/models/a~1b/version',
    ]);
  });

  it('refuses placement wishes that the live hosts cannot meet', () => {
    const hosts = [0, 1, 2].map((n): HostInfo => ({
      host: `h${n}`,
      address: `127.0.0.1:${n}`,
      failureDomain: n === 0 ? 'kg-a' : 'kg-b',
      pool: 'onyx-pool',
      state: n === 2 ? 'leaving' : 'live',
    }));
    const patch = {
      models: {a: MODEL},
      placement: {
        'onyx-pool': {a: {minReplicas: 3, minPerFailureDomain: 2}},
        nowhere: {a: {minReplicas: 1}},
      },
    };
    const faults = patchDeclarations(
      createInitialDeclarations(),
      {form: 'merge-patch', patch: JSON.stringify(patch)},
      countLiveHosts(hosts),
    );
    expect(faults.swap().unsafeCoerce()).toMatchObject([
      {path: '/placement/nowhere/a'},
      {path: '/placement/onyx-pool/a/minReplicas'},
      {path: '/placement/onyx-pool/a/minPerFailureDomain'},
    ]);
  });
});

describe('patches', () => {
  const base = accepted(createInitialDeclarations(), {
    organisations: {'prairie-sky': {weight: 2}, 'ingufu-hamwe': {}},
    models: {a: MODEL},
  });

  it('address items by id in both forms and return the changed paths', () => {
    const operations = [
      {op: 'test', path: '/organisations/prairie-sky/weight', value: 2},
      {op: 'replace', path: '/organisations/prairie-sky/weight', value: 3},
      {op: 'remove', path: '/organisations/ingufu-hamwe'},
    ];
    const json = patchDeclarations(base, {
      form: 'json-patch',
      patch: JSON.stringify(operations),
    });
    const merged = merge(base, {
      organisations: {'prairie-sky': {weight: 3}, 'ingufu-hamwe': null},
    });
    expect(json).toEqual(merged);
    expect(json.unsafeCoerce().changedPaths).toEqual([
      '/organisations/ingufu-hamwe',
      '/organisations/prairie-sky/weight',
    ]);
  });

  it('change nothing when one operation fails', () => {
    const faults = patchDeclarations(base, {
      form: 'json-patch',
      patch: JSON.stringify([
        {op: 'replace', path: '/models/a/version', value: '2'},
        {op: 'remove', path: '/organisations/no-one'},
      ]),
    });
    expect(faults.swap().unsafeCoerce()).toMatchObject([
      {path: '/organisations/no-one'},
    ]);
  });
});

describe('documents', () => {
  it('join to the declarations they were split from, and only changed ones get a new hash', () => {
    const organisations = Object.fromEntries(
      Array.from({length: 1_500}, (_, n) => [`org-${n}`, {}]),
    );
    const before = accepted(createInitialDeclarations(), {organisations});
    const after = accepted(before, {organisations: {'org-7': {weight: 9}}});
    const documents = splitDeclarations(after);
    const known = new Set(splitDeclarations(before).map(({hash}) => hash));
    expect(documents.filter(({hash}) => !known.has(hash))).toHaveLength(1);
    const manifest = createManifest(
      {number: 2, base: 1, patchId: 'p', operator: 'ada', changedPaths: []},
      documents,
    );
    const json = new Map(documents.map(({hash, json}) => [hash, json]));
    expect(joinDocuments(manifest, json)).toEqual(after);
  });
});
