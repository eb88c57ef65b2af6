/**
 * The catalogue of numbered log events. `docs/EVENTS.md` lists the same
 * events, and a test checks that both agree. The number of a removed event is
 * never reused, since operators may match on it.
 *
 * Ranges: 100 kernel, 200 requests, 300 routing, 400 side and runs,
 * 500 membership, 600 configuration, 700 placement, 800 limits,
 * 900 platform and upstreams, 990 invariants.
 */
import type {EventSpec} from '../types/runtime.js';

/** Free of side effects, so that a bundle leaves out what it does not use. */
// @__NO_SIDE_EFFECTS__
function event(
  number: number,
  level: EventSpec['level'],
  name: string,
): EventSpec {
  return {number, level, name};
}

/** Start and end of the process and of its services. */
export const KERNEL_EVENTS = {
  serviceStarted: event(100, 'info', 'service-started'),
  serviceFailed: event(101, 'error', 'service-failed'),
  serviceEnded: event(102, 'info', 'service-ended'),
  messageDropped: event(103, 'warn', 'message-dropped'),
  messageFailed: event(104, 'error', 'message-failed'),
  processStarted: event(110, 'info', 'process-started'),
  drainStarted: event(111, 'info', 'drain-started'),
  drainEnded: event(112, 'info', 'drain-ended'),
  reloaded: event(113, 'info', 'settings-reloaded'),
  logLinesDropped: event(114, 'warn', 'log-lines-dropped'),
  processEnded: event(116, 'info', 'process-ended'),
  settingsAwaited: event(117, 'warn', 'settings-awaited'),
  settingsRead: event(118, 'info', 'settings-read'),
  addressTaken: event(119, 'warn', 'address-taken'),
  addressBound: event(120, 'info', 'address-bound'),
  signalIgnored: event(121, 'info', 'signal-ignored'),
  acceptFailed: event(122, 'warn', 'accept-failed'),
  errorUnowned: event(123, 'error', 'error-unowned'),
  drainRepeated: event(124, 'error', 'drain-repeated'),
} as const;

/** Requests at an entry's HTTP front end, from admission to the answer. */
export const FRONT_EVENTS = {
  admitted: event(200, 'info', 'request-admitted'),
  refused: event(201, 'info', 'request-refused'),
  answered: event(202, 'info', 'request-answered'),
  failed: event(203, 'warn', 'request-failed'),
  callerLeft: event(204, 'info', 'caller-left'),
  callerSlow: event(205, 'warn', 'caller-slow'),
  overdue: event(206, 'error', 'request-overdue'),
  superseded: event(207, 'info', 'answer-superseded'),
  frontFailed: event(208, 'error', 'front-failed'),
  frontListening: event(209, 'info', 'front-listening'),
  operatorRefused: event(210, 'warn', 'operator-refused'),
} as const;

/** Requests at an entry, between admission and the final event. */
export const REQUEST_EVENTS = {
  ended: event(230, 'info', 'request-ended'),
  failed: event(231, 'warn', 'request-given-up'),
  frameDropped: event(232, 'warn', 'frame-dropped'),
  channelRenewed: event(233, 'warn', 'channel-renewed'),
  attemptLost: event(234, 'warn', 'attempt-lost'),
  retried: event(235, 'info', 'request-retried'),
  adopted: event(236, 'info', 'run-adopted'),
  offerUnanswered: event(237, 'warn', 'offer-unanswered'),
  abandoned: event(238, 'info', 'dispatch-abandoned'),
} as const;

/** Choice of a side; one event per decision. */
export const ROUTING_EVENTS = {
  decided: event(300, 'info', 'routing-decided'),
  refused: event(301, 'info', 'route-refused'),
  noCandidate: event(302, 'warn', 'no-candidate'),
  groupDecided: event(303, 'info', 'group-decided'),
} as const;

/** Runs at a side, and the side's upstream. */
export const SIDE_EVENTS = {
  offerAccepted: event(400, 'info', 'offer-accepted'),
  offerRefused: event(401, 'info', 'offer-refused'),
  offerLapsed: event(402, 'info', 'offer-lapsed'),
  runStarted: event(403, 'info', 'run-started'),
  runEnded: event(404, 'info', 'run-ended'),
  runFailed: event(405, 'info', 'run-failed'),
  runAbandoned: event(406, 'info', 'run-abandoned'),
  runTakenOver: event(407, 'info', 'run-taken-over'),
  goRefused: event(408, 'warn', 'go-refused'),
  channelSilent: event(409, 'warn', 'channel-silent'),
  ownerLost: event(410, 'warn', 'owner-lost'),
  streamBroken: event(411, 'warn', 'upstream-stream-broken'),
  orphanedRunFreed: event(412, 'warn', 'orphaned-run-freed'),
  runMissing: event(413, 'warn', 'run-missing-at-engine'),
  auditFailed: event(414, 'warn', 'audit-failed'),
  reconciled: event(415, 'info', 'engine-reconciled'),
  freeFailed: event(416, 'warn', 'engine-free-failed'),
  sideLeaving: event(417, 'info', 'side-leaving'),
  sideDrained: event(418, 'info', 'side-drained'),
  orderRefused: event(419, 'warn', 'order-refused'),
  orderPassed: event(420, 'info', 'order-passed'),
  orderFailed: event(421, 'warn', 'order-failed'),
  fenceRead: event(422, 'info', 'fence-read'),
  sideFrozen: event(423, 'warn', 'side-was-frozen'),
} as const;

/** State changes of hosts and peers. */
export const MEMBERSHIP_EVENTS = {
  replicaState: event(500, 'info', 'replica-state'),
  entryState: event(501, 'info', 'entry-state'),
  followingChanged: event(502, 'info', 'following-changed'),
  hostListFailed: event(503, 'warn', 'host-list-failed'),
  observerPaused: event(504, 'warn', 'observer-paused'),
  manySuspect: event(505, 'warn', 'many-suspect'),
} as const;

/** Configuration versions, patches and their distribution to processes. */
export const CONFIG_EVENTS = {
  adopted: event(600, 'info', 'config-adopted'),
  olderOffered: event(601, 'warn', 'config-older-offered'),
  storeUnreachable: event(602, 'warn', 'config-store-unreachable'),
  documentCorrupt: event(603, 'error', 'config-document-corrupt'),
  fetchFailed: event(604, 'warn', 'config-fetch-failed'),
  patchAccepted: event(605, 'info', 'config-patch-accepted'),
  patchRejected: event(606, 'info', 'config-patch-rejected'),
  patchUnknown: event(607, 'error', 'config-patch-outcome-unknown'),
  homeChanged: event(608, 'debug', 'config-home-changed'),
} as const;

/** Model placement: the placer, its lease and its orders to sides. */
export const PLACEMENT_EVENTS = {
  decided: event(700, 'info', 'placement-decided'),
  orderAnswered: event(701, 'info', 'placement-order-answered'),
  readBack: event(702, 'info', 'placement-order-read-back'),
  notSent: event(703, 'warn', 'placement-order-not-sent'),
  placerStarted: event(704, 'info', 'placer-started'),
  placerStopped: event(705, 'warn', 'placer-stopped'),
  wishUnmet: event(706, 'warn', 'placement-wish-unmet'),
  wishMet: event(707, 'info', 'placement-wish-met'),
} as const;

/** Organisations' limits and the entries that grant shares of them. */
export const LIMIT_EVENTS = {
  reached: event(800, 'info', 'limit-reached'),
  homeChanged: event(801, 'info', 'limit-home-changed'),
  homeUnreachable: event(802, 'warn', 'limit-home-unreachable'),
  homeBack: event(803, 'info', 'limit-home-back'),
} as const;

/** Leases and claims in the platform's object store. */
export const PLATFORM_EVENTS = {
  leaseTaken: event(900, 'info', 'lease-taken'),
  leaseLost: event(901, 'warn', 'lease-lost'),
  leaseNotRenewed: event(902, 'warn', 'lease-not-renewed'),
  claimUnknown: event(910, 'warn', 'claim-unknown'),
} as const;

/** Direct mode: requests served at upstreams without sides. */
export const DIRECT_EVENTS = {
  refused: event(250, 'info', 'direct-refused'),
  dispatched: event(251, 'info', 'direct-dispatched'),
  answered: event(252, 'info', 'direct-answered'),
  tryFailed: event(253, 'warn', 'direct-try-failed'),
  givenUp: event(254, 'warn', 'direct-given-up'),
  callerLeft: event(255, 'info', 'direct-caller-left'),
  groupRefused: event(256, 'warn', 'direct-group-refused'),
  faulted: event(257, 'error', 'direct-faulted'),
  listening: event(258, 'info', 'direct-listening'),
  unread: event(259, 'info', 'direct-unread'),
  leadSilent: event(260, 'warn', 'direct-lead-silent'),
  waiting: event(262, 'info', 'direct-waiting'),
  memoryReserved: event(263, 'info', 'direct-memory-reserved'),
  memoryReleased: event(264, 'info', 'direct-memory-released'),
  memoryUnused: event(265, 'warn', 'direct-memory-unused'),
  replicaRestarted: event(261, 'info', 'direct-replica-restarted'),
  replicaEnded: event(266, 'warn', 'direct-replica-ended'),
  quarantined: event(267, 'error', 'direct-quarantined'),
  quarantineRefused: event(268, 'warn', 'direct-quarantine-refused'),
  quarantineEnded: event(269, 'info', 'direct-quarantine-ended'),
  trial: event(270, 'info', 'direct-trial'),
  limitLearned: event(271, 'info', 'direct-limit-learned'),
  limitEnded: event(272, 'info', 'direct-limit-ended'),
  limitUnreadable: event(273, 'warn', 'direct-limit-unreadable'),
  limitHomeSilent: event(274, 'warn', 'direct-limit-home-silent'),
  replicaLeaving: event(275, 'info', 'direct-replica-leaving'),
  replicaPaused: event(276, 'warn', 'direct-replica-paused'),
  replicaResumed: event(278, 'info', 'direct-replica-resumed'),
  noticeUnreadable: event(277, 'warn', 'direct-notice-unreadable'),
  connectionsClosed: event(280, 'warn', 'direct-connections-closed'),
  loopStalled: event(279, 'warn', 'direct-loop-stalled'),
  runSilent: event(281, 'info', 'direct-run-silent'),
  cutAtStop: event(282, 'warn', 'direct-cut-at-stop'),
  runResumed: event(283, 'info', 'direct-run-resumed'),
  runSuperseded: event(284, 'info', 'direct-run-superseded'),
  runKept: event(285, 'warn', 'direct-run-kept'),
  requestMoved: event(286, 'info', 'direct-request-moved'),
  evacuationBegan: event(290, 'warn', 'direct-evacuation-began'),
  evacuationEnded: event(291, 'info', 'direct-evacuation-ended'),
  evacuationDrained: event(292, 'info', 'direct-evacuation-drained'),
  evacuationKept: event(293, 'warn', 'direct-evacuation-kept'),
  evacuationsTaken: event(294, 'info', 'direct-evacuations-taken'),
  programLoaded: event(330, 'info', 'direct-program-loaded'),
  replicaCold: event(304, 'info', 'direct-replica-cold'),
  replicaWarm: event(305, 'info', 'direct-replica-warm'),
  coldUnreadable: event(306, 'warn', 'direct-cold-unreadable'),
  coldPresumed: event(307, 'info', 'direct-cold-presumed'),
  coldFallback: event(308, 'warn', 'direct-cold-fallback'),
  shareHeld: event(310, 'info', 'direct-share-held'),
  repeatRefused: event(311, 'info', 'direct-repeat-refused'),
  shareStandings: event(312, 'info', 'direct-share-standings'),
  callerCut: event(340, 'warn', 'direct-caller-cut'),
  heldFull: event(341, 'warn', 'direct-held-full'),
  heldFree: event(342, 'info', 'direct-held-free'),
  callerClosed: event(343, 'warn', 'direct-caller-closed'),
  descriptorsShort: event(344, 'warn', 'direct-descriptors-short'),
  memoryHigh: event(345, 'warn', 'direct-memory-high'),
  memoryNormal: event(346, 'info', 'direct-memory-normal'),
  connectionFaulted: event(347, 'error', 'direct-connection-faulted'),
  turnsBegan: event(348, 'warn', 'direct-turns-began'),
  turnsEnded: event(349, 'info', 'direct-turns-ended'),
  entryFound: event(550, 'info', 'entry-found'),
  entryRemoved: event(551, 'info', 'entry-removed'),
  entriesCounted: event(552, 'info', 'entries-counted'),
  coverBegan: event(553, 'info', 'cover-began'),
  coverEnded: event(554, 'info', 'cover-ended'),
  knowledgeTaken: event(555, 'info', 'knowledge-taken'),
  handoverFailed: event(556, 'warn', 'handover-failed'),
  storeRestored: event(557, 'warn', 'store-restored'),
  eraUntold: event(558, 'warn', 'era-untold'),
  eraOlder: event(559, 'warn', 'era-older'),
  knowledgeKept: event(560, 'warn', 'knowledge-kept'),
  knowledgeSettled: event(561, 'info', 'knowledge-settled'),
  recordRewritten: event(562, 'info', 'entry-record-rewritten'),
  eraUnsettled: event(563, 'warn', 'era-unsettled'),
  eraSettled: event(564, 'info', 'era-settled'),
  callFailed: event(565, 'error', 'call-failed'),
  peerMessageDropped: event(566, 'error', 'peer-message-dropped'),
  stepFailed: event(567, 'error', 'step-failed'),
  configAdopted: event(650, 'info', 'direct-config-adopted'),
  configHeard: event(651, 'info', 'direct-config-heard'),
  configFetched: event(652, 'info', 'direct-config-fetched'),
  configAwaited: event(653, 'warn', 'direct-config-awaited'),
  storeLost: event(950, 'warn', 'store-lost'),
  storeBack: event(951, 'info', 'store-back'),
  storeCallFailed: event(952, 'warn', 'store-call-failed'),
  recordUnreadable: event(953, 'warn', 'store-record-unreadable'),
} as const;

/** Violations of the program's own invariants. */
export const INVARIANT_EVENTS = {
  violated: event(990, 'error', 'invariant-violated'),
} as const;
