/**
 * A client right on top of the plain service, without sockets, for runs in
 * virtual time. It fails as the HTTP client does.
 */
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import {OnyxError} from '../src/types/errors.js';
import type {ErrorCode, Ran} from '../src/types/errors.js';
import type {CallHead} from '../src/types/peer_messages.js';
import type {Clock} from '../src/types/runtime.js';
import type {
  CallEvent,
  ServiceClient,
  ServiceReport,
} from '../src/types/upstream.js';
import {pushStream} from '../src/upstream/push_stream.js';
import type {Push} from '../src/upstream/push_stream.js';
import {createDigest} from '../src/utils/digest.js';
import {REQUEST_ID_HEADER} from './plain_service_core.js';
import type {PlainAnswer, PlainServiceCore} from './plain_service_core.js';

export interface MemoryServiceOptions {
  readonly core: PlainServiceCore;
  readonly clock: Clock;
  /** Peer named in errors. @default "memory-service" */
  readonly name?: string;
  /** Time for a call to reach the service. @default 0.5 */
  readonly latencyMs?: number;
  /** Time after which a report without answer fails. @default 2000 */
  readonly callTimeoutMs?: number;
}

export interface MemoryService extends ServiceClient {
  /** Breaks all open calls; those whose body was sent still run. */
  cut(): void;
}

/** Makes a client of `core`. Several may share one. */
export function createMemoryService(
  options: MemoryServiceOptions,
): MemoryService {
  const {core, clock} = options;
  const peer = options.name ?? 'memory-service';
  const latencyMs = options.latencyMs ?? 0.5;
  const callTimeoutMs = options.callTimeoutMs ?? 2000;
  const open = new Set<Push<CallEvent>>();

  const fault = (code: ErrorCode, message: string, ran: Ran) => {
    return new OnyxError({code, step: 'run', peer, message, ran});
  };

  const unreachable = () => {
    return fault('peer-unreachable', `cannot connect to ${peer}`, 'no');
  };

  const breakAll = () => {
    const message = `connection to ${peer} broke`;
    for (const push of [...open]) {
      push.error(fault('upstream-lost', message, 'unknown'));
    }
  };

  const deliver = (push: Push<CallEvent>, answer: PlainAnswer) => {
    const faults = core.faults();
    if (faults.silent) return;
    if (faults.loseAnswers) {
      const message = `connection to ${peer} broke`;
      push.error(fault('upstream-lost', message, 'unknown'));
      return;
    }
    const {status, body} = answer;
    const headers = [{name: 'content-type', value: 'application/json'}];
    push.event({kind: 'head', head: {status, headers}});
    push.event({kind: 'data', data: Buffer.from(body)});
    push.event({kind: 'done'});
    push.end();
  };

  const send = async (
    push: Push<CallEvent>,
    runId: string,
    head: CallHead,
    body: AsyncIterable<Uint8Array>,
  ) => {
    const digest = createDigest();
    let bodyBytes = 0;
    for await (const piece of body) {
      digest.update(piece);
      bodyBytes += piece.length;
    }
    // A call that broke before its body was whole does not run.
    if (push.isClosed()) return;
    const {method, path} = head;
    const requestId = headerOf(head, REQUEST_ID_HEADER);
    const bodyDigest = digest.value();
    const call = {method, path, runId, requestId, bodyBytes, bodyDigest};
    core.whenAwake(() => core.run(call, answer => deliver(push, answer)));
  };

  core.onDeath(breakAll);

  return {
    call: (runId, head, body) =>
      pushStream(push => {
        const cancel = clock.after(latencyMs, () => {
          if (core.faults().dead) {
            push.error(unreachable());
            return;
          }
          open.add(push);
          send(push, runId, head, body).catch(err => push.error(err));
        });
        return () => {
          cancel();
          open.delete(push);
        };
      }),
    report: () =>
      new Promise<Either<OnyxError, ServiceReport>>(resolve => {
        const cancel = clock.after(callTimeoutMs, () => {
          const message = `service ${peer} gave no answer`;
          resolve(Left(fault('timeout', message, 'unknown')));
        });
        const settle = (outcome: Either<OnyxError, ServiceReport>) => {
          cancel();
          resolve(outcome);
        };
        clock.after(latencyMs, () => {
          const {dead, silent} = core.faults();
          if (dead) settle(Left(unreachable()));
          else if (!silent) core.whenAwake(() => settle(Right(core.report())));
        });
      }),
    cut: breakAll,
  };
}

function headerOf(head: CallHead, name: string): string {
  const found = head.headers.find(header => header.name.toLowerCase() === name);
  return found?.value ?? '';
}
