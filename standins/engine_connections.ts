/**
 * Open answer streams of the engine program: lines of JSON with beats between
 * them, and the fault of a connection that falls silent for good.
 */
import type {ServerResponse} from 'node:http';
import {eventToLine} from '../src/upstream/engine_protocol.js';
import type {Cancel, Clock} from '../src/types/runtime.js';
import type {EngineModel} from './engine_model.js';
import type {RunListener} from './engine_runs.js';

export interface EngineConnection {
  /** Sends an event as a line; the last one ends the answer. */
  readonly listener: RunListener;
  isMuted(): boolean;
}

export interface EngineConnections {
  /** Begins an answer on `res`; `onClose` is called when it is over. */
  open(res: ServerResponse, onClose: () => void): EngineConnection;
  /** Open ones never send again, without an end. */
  silence(): void;
  /** Breaks all open ones. */
  breakAll(): void;
}

interface Open {
  readonly res: ServerResponse;
  muted: boolean;
}

/** `beatMs` is by `clock`, which is not the one that engine steps run on. */
export function createEngineConnections(
  model: EngineModel,
  clock: Clock,
  beatMs: number,
): EngineConnections {
  const all = new Set<Open>();
  let stopBeats: Cancel | undefined;
  const beatLine = eventToLine({kind: 'beat'});

  const beat = () => {
    if (model.isFrozen()) return;
    for (const {res, muted} of all) {
      if (!muted && !res.writableEnded) res.write(beatLine);
    }
  };

  const add = (entry: Open) => {
    all.add(entry);
    stopBeats ??= clock.every(beatMs, beat);
  };

  const drop = (entry: Open) => {
    all.delete(entry);
    if (all.size > 0) return;
    stopBeats?.();
    stopBeats = undefined;
  };

  return {
    open: (res, onClose) => {
      const entry: Open = {res, muted: false};
      add(entry);
      res.on('close', () => {
        drop(entry);
        onClose();
      });
      res.writeHead(200, {'content-type': 'application/x-ndjson'});
      res.flushHeaders();
      return {
        listener: event => {
          if (entry.muted || res.writableEnded) return;
          res.write(eventToLine(event));
          if (event.kind === 'done' || event.kind === 'failed') res.end();
        },
        isMuted: () => entry.muted,
      };
    },
    silence: () => {
      for (const entry of all) entry.muted = true;
    },
    breakAll: () => {
      for (const {res} of [...all]) res.destroy();
    },
  };
}
