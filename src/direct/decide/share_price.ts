/**
 * Decides by which factor the price of engine time rises for a request whose
 * organisation is above its fair share, or that is less urgent than requests
 * that are not served.
 *
 * Without this factor, only the value and the engine time of a request decide
 * under overload whether it is served. A few large organisations, or callers
 * that repeat their requests aggressively, then take the capacity of the
 * others. The price rises only for the requests named above, and only while the
 * engines are full. An organisation that is short of its share while another one
 * is above its own does not pay the usual price: that price keeps engine time
 * for later requests, and during a flood these are mostly those of the flood. No
 * organisation has a fixed limit, so capacity that nobody else wants is never
 * left unused.
 */
import type {EngineCandidate} from './score_engine.js';

/** How a request compares with the others of its service. */
export interface ShareStanding {
  /**
   * Engine time that the organisation used, divided by its fair share; 1 where
   * it used its share or less, and where its use is not known.
   */
  readonly excess: number;
  /**
   * Whether the organisation is short of its fair share while another one is
   * above its own. @default false
   */
  readonly isShort?: boolean;
  /**
   * Served share of the requests of this urgency, minus the lowest such share of
   * a greater urgency, but at least 0.
   */
  readonly servedLead: number;
  /** The same for the gain of the placements; a late answer gains little. */
  readonly gainLead: number;
}

/** Why engine time costs more for a request. */
export type ShareCause = 'above its share' | 'less urgent';

/** How much more or less engine time costs for a request. */
export interface SharePrice {
  /** At least 1. */
  readonly factor: number;
  /** Undefined where the factor is 1. */
  readonly cause?: ShareCause;
  /**
   * Whether the request does not pay the usual price of engine time, because its
   * organisation is short of its share. @default false
   */
  readonly isShort?: boolean;
}

/**
 * Excess that does not raise the price. The use of an organisation is an
 * estimate from the reports of other entries, and single long prompts change
 * it. With a smaller value, organisations of equal load are held back by turns.
 */
export const FREE_EXCESS = 0.1;
/**
 * Growth of the price with the excess: at an excess of 1.3 it is five times the
 * usual price, and at 1.7 about a hundred times. A short prompt is worth
 * several times the usual price of its engine time, so a lower growth would
 * hold back only long prompts.
 */
const EXCESS_GROWTH = 8;
/** Largest factor, so that the price remains a number that can be compared. */
const MAX_FACTOR = 1_000;
/**
 * Leads of less urgent requests that do not raise the price. They are below the
 * leads that are tolerated, which are 0.05 for the served share and 0.15 for
 * the gain, so that the price rises before these are reached.
 */
const FREE_SERVED_LEAD = 0.01;
const FREE_GAIN_LEAD = 0.08;
/**
 * Growth of the price with the lead: at 0.1 beyond the free lead it is five
 * times the usual price.
 */
const LEAD_GROWTH = 16;
/**
 * A request pays the price for its urgency in full up to this multiple of its
 * latency objective since it was first sent, and nothing of it from twice that
 * on. A long prompt thus waits its turn but is not refused for good.
 */
const AGEING_AIMS = 1;
/** Share of used slots from which an engine counts as busy for shares. */
const BUSY_SLOTS_SHARE = 0.7;
/** Prefill backlog of an engine that is busy for shares, in milliseconds. */
const BUSY_BACKLOG_MS = 150;
/** The engines are not full up to this mean of how busy they are. */
const NOT_FULL_SHARE = 0.3;
/** They are full from this mean on. */
const FULL_SHARE = 0.7;

/**
 * The price for the request; undefined where it pays the usual price. `ageAims`
 * is the time since the request was first sent, divided by its latency
 * objective.
 */
export function sharePrice(
  {excess, isShort = false, servedLead, gainLead}: ShareStanding,
  ageAims: number,
): SharePrice | undefined {
  const ageing = clamp(2 - ageAims / AGEING_AIMS);
  const forExcess = growth(excess - 1 - FREE_EXCESS, EXCESS_GROWTH);
  const lead = Math.max(
    servedLead - FREE_SERVED_LEAD,
    gainLead - FREE_GAIN_LEAD,
  );
  const forUrgency = growth(lead, LEAD_GROWTH * ageing);
  const factor = Math.min(MAX_FACTOR, forExcess * forUrgency);
  if (factor <= 1) return isShort ? {factor: 1, isShort} : undefined;
  const cause = forExcess >= forUrgency ? 'above its share' : 'less urgent';
  return {factor, cause, isShort};
}

function growth(beyond: number, rate: number): number {
  return Math.exp(rate * Math.max(0, beyond));
}

/**
 * How full the engines are for shares, from 0 to 1. Unlike the fullness for the
 * usual price it also counts slots: many short prompts use up the slots of all
 * engines long before their prefills make a backlog.
 */
export function shareFullness(candidates: readonly EngineCandidate[]): number {
  const sum = candidates.reduce((total, {load, replica}) => {
    const usedSlots = load.running / replica.places;
    const bySlots = (usedSlots - BUSY_SLOTS_SHARE) / (1 - BUSY_SLOTS_SHARE);
    return total + clamp(Math.max(load.readMs / BUSY_BACKLOG_MS, bySlots));
  }, 0);
  const mean = sum / Math.max(1, candidates.length);
  return clamp((mean - NOT_FULL_SHARE) / (FULL_SHARE - NOT_FULL_SHARE));
}

function clamp(value: number): number {
  return Math.min(1, Math.max(0, value));
}
