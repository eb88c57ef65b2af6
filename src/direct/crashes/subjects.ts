/**
 * What may crash the replica that runs a request: the request itself, or a part
 * of its prompt that other requests share. Both are suspects of one kind, which
 * differ by their type.
 */

export type SubjectType =
  | {readonly kind: 'request'}
  | {
      readonly kind: 'part';
      /** Index of the part in the prompt; the first one is 0. */
      readonly position: number;
    };

export type SubjectKind = SubjectType['kind'];

export const REQUEST: SubjectType = {kind: 'request'};

export interface Subject {
  readonly digest: string;
  readonly type: SubjectType;
}

/** What a run holds that may have crashed its replica. */
export interface RunSubjects {
  readonly requestId: string;
  readonly request: Subject;
  readonly parts: readonly Subject[];
}

export interface SubjectSource {
  readonly id: string;
  digest(): string;
  partDigests(): readonly string[];
}

export function subjectsOf(source: SubjectSource): RunSubjects {
  return {
    requestId: source.id,
    request: requestSubject(source),
    parts: partSubjects(source),
  };
}

/** Its digest takes time for a large body. */
export function requestSubject(source: SubjectSource): Subject {
  return {digest: source.digest(), type: REQUEST};
}

export function partSubjects(source: SubjectSource): readonly Subject[] {
  return source.partDigests().map((digest, position) => ({
    digest,
    type: {kind: 'part', position},
  }));
}
