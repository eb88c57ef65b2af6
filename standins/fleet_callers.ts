/**
 * Callers of an in-memory fleet: what they ask for, as the entry's front would
 * hand it on, and what they are told.
 */
import {prefixHashes} from '../src/entry/admission/prefix_hashes.js';
import type {NumberedDeclarations} from '../src/types/config.js';
import type {
  Address,
  DispatchId,
  NodeId,
  OrganisationId,
  RequestId,
} from '../src/types/ids.js';
import type {CallHead} from '../src/types/peer_messages.js';
import type {
  Body,
  RequestEvent,
  RequestListener,
  RequestSpec,
} from '../src/types/services.js';
import {createDigest} from '../src/utils/digest.js';
import {answerText} from './engine_runs.js';
import {FLEET_MODEL, SERVICE_POOL} from './fleet_declarations.js';

/** What a caller asks for. */
export interface Ask {
  readonly kind: 'completion' | 'call';
  readonly organisation: OrganisationId;
  /** Told to the system; the body itself is short. 0 for a call. */
  readonly promptTokens: number;
  readonly maxTokens: number;
  readonly timeLimitMs: number;
  readonly repeatable: boolean;
  readonly priority: number;
  readonly idempotencyKey?: string;
  /** Text of the prompt's end. @default names the request */
  readonly prompt?: string;
  /** Prompts of the same topic share their first blocks. @default none */
  readonly topic?: number;
  /** For a call: how long the service takes. @default 20 */
  readonly serviceMs?: number;
}

/** A dispatch that a caller was told of. */
export interface Placement {
  readonly at: number;
  readonly side: Address;
  readonly dispatchId: DispatchId;
}

/** One submission, with all that its caller was told. */
export interface Tracked {
  readonly id: RequestId;
  readonly ask: Ask;
  readonly entry: NodeId;
  readonly entryIncarnation: string;
  readonly submittedAt: number;
  readonly deadlineAt: number;
  /** First chunk asked for; over 0 for a resume. */
  readonly fromSeq: number;
  /** Takes up an earlier submission. */
  readonly resumed: boolean;
  /** Answer that the caller should get. */
  readonly expected: string;
  readonly events: RequestEvent[];
  readonly placements: Placement[];
  /** Final events, of which there should be one. */
  finals: number;
  endedAt: number | undefined;
  /** The entry crashed before the final event. */
  cut: boolean;
  /** Side and dispatch last told. */
  side: Address;
  dispatchId: DispatchId;
  /** Chunks as they came. */
  text: string;
  nextSeq: number;
}

const PIECE_BYTES = 4_096;
const TOPIC_PIECES = 4;
const encoder = new TextEncoder();
const topics = new Map<number, readonly Uint8Array[]>();

/** Pieces are made once and shared, so that long prompts cost nothing. */
function topicPieces(topic: number): readonly Uint8Array[] {
  const known = topics.get(topic);
  if (known !== undefined) return known;
  const text = `topic ${topic} `.repeat(PIECE_BYTES).slice(0, PIECE_BYTES);
  const piece = encoder.encode(text);
  const pieces = Array.from({length: TOPIC_PIECES}, () => piece);
  topics.set(topic, pieces);
  return pieces;
}

function bodyOf(id: RequestId, ask: Ask): Body {
  const shared = ask.topic === undefined ? [] : topicPieces(ask.topic);
  const pieces = [...shared, encoder.encode(ask.prompt ?? `request ${id}`)];
  const bytes = pieces.reduce((sum, piece) => sum + piece.length, 0);
  return {pieces, bytes};
}

function digestOf(body: Body): string {
  const digest = createDigest();
  for (const piece of body.pieces) digest.update(piece);
  return digest.value();
}

function callOf(id: RequestId, ask: Ask): CallHead {
  return {
    method: ask.repeatable ? 'GET' : 'POST',
    path: `/readings?delayMs=${ask.serviceMs ?? 20}`,
    headers: [{name: 'x-caller', value: id}],
  };
}

function expectedAnswer(body: Body, ask: Ask, call: CallHead | undefined) {
  const digest = digestOf(body);
  if (call === undefined) return answerText(digest.slice(0, 8), ask.maxTokens);
  const {method, path} = call;
  return JSON.stringify({method, path, length: body.bytes, digest});
}

/** The spec that the entry's front would make of a submission. */
export function specOf(
  id: RequestId,
  ask: Ask,
  config: NumberedDeclarations,
  now: number,
): {readonly spec: RequestSpec; readonly expected: string} {
  const isCall = ask.kind === 'call';
  const body = bodyOf(id, ask);
  const call = isCall ? callOf(id, ask) : undefined;
  const {lengthClasses, priorityClasses, organisations} = config.declarations;
  const lengthClass =
    lengthClasses.find(each => ask.promptTokens <= each.maxTokens) ??
    lengthClasses.at(-1);
  const priorityClass = priorityClasses.find(
    each => each.priority === ask.priority,
  );
  const organisation = organisations.find(each => each.id === ask.organisation);
  const scope = `${ask.organisation}\n${FLEET_MODEL}\n`;
  const spec: RequestSpec = {
    id,
    organisation: ask.organisation,
    weight: organisation?.weight ?? 1,
    kind: ask.kind,
    pool: isCall ? SERVICE_POOL : '',
    model: isCall ? '' : FLEET_MODEL,
    adapter: '',
    priorityClass: priorityClass?.name ?? 'normal',
    priority: ask.priority,
    lengthClass: isCall ? 'call' : (lengthClass?.name ?? 'any'),
    deadlineAt: now + ask.timeLimitMs,
    admittedAt: now,
    body,
    promptTokens: isCall ? 0 : ask.promptTokens,
    maxTokens: isCall ? 0 : ask.maxTokens,
    repeatable: ask.repeatable,
    idempotencyKey: ask.idempotencyKey,
    prefixHashes: isCall ? [] : prefixHashes(body, scope),
    config,
    call,
  };
  return {spec, expected: expectedAnswer(body, ask, call)};
}

export type TrackedStart = Pick<
  Tracked,
  | 'id'
  | 'ask'
  | 'entry'
  | 'entryIncarnation'
  | 'submittedAt'
  | 'deadlineAt'
  | 'fromSeq'
  | 'resumed'
  | 'expected'
>;

export function createTracked(start: TrackedStart): Tracked {
  return {
    ...start,
    events: [],
    placements: [],
    finals: 0,
    endedAt: undefined,
    cut: false,
    side: '',
    dispatchId: '',
    text: '',
    nextSeq: start.fromSeq,
  };
}

/** Records what a caller is told. */
export function listenerOf(
  tracked: Tracked,
  now: () => number,
  onEvent: (event: RequestEvent) => void,
): RequestListener {
  const decoder = new TextDecoder();
  return event => {
    tracked.events.push(event);
    if (event.kind === 'placed') {
      const {side, dispatchId} = event;
      tracked.placements.push({at: now(), side, dispatchId});
      tracked.side = event.side;
      tracked.dispatchId = event.dispatchId;
    } else if (event.kind === 'chunk') {
      tracked.text += decoder.decode(event.data, {stream: true});
      tracked.nextSeq = event.seq + 1;
    } else {
      tracked.finals++;
      tracked.endedAt ??= now();
    }
    onEvent(event);
  };
}

export function finalOf(tracked: Tracked) {
  return tracked.events.find(
    event => event.kind === 'end' || event.kind === 'failed',
  );
}
