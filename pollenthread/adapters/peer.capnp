@0xd3f1a8c5b7e24961;
# Messages between hosts of the platform deployment.

struct EntryBeat {
  # Heartbeat of an entry host.
  host @0 :Text;
  isReady @1 :Bool;
  isLeaving @2 :Bool;
  configVersion @3 :UInt64;
  storeAgeMs @4 :UInt32;
  # The store's change counter at the newest known change of the server list.
  serversChanged @5 :UInt64;
  # The same for the registered hosts.
  hostsChanged @6 :UInt64;
  # Whether the host follows the store itself, and whether the store answers it.
  isWatcher @7 :Bool;
  isStoreUp @8 :Bool;
  # Where other hosts reach this one.
  peerAddress @9 :Text;
  # The eras of the counters above.
  serversEra @10 :UInt32;
  hostsEra @11 :UInt32;
  # Requests that wait at the host, and arrivals there in a second, by service.
  demand @12 :List(ServiceDemand);
  # The data centres that operators have emptied, and the store's version of
  # that list.
  evacuated @13 :List(Text);
  evacuationsChanged @14 :UInt64;
  evacuationsEra @15 :UInt32;
}

struct ServiceDemand {
  # Demand for a service at one entry host, by level of importance; the first is
  # the most important.
  service @0 :Text;
  waiting @1 :List(UInt16);
  arrivalsPerS @2 :List(Float32);
}

struct UsableHosts {
  # The entry hosts of a data centre to which callers can connect.
  dataCentre @0 :Text;
  hosts @1 :List(Text);
}

struct CrashNews {
  # Evidence of requests that crash servers.
  crashes @0 :List(CrashRecord);
  cleared @1 :List(ClearedPart);
  # Where a sender that wants evidence receives it.
  replyTo @2 :Text;
}

struct CrashRecord {
  server @0 :Text;
  ageMs @1 :UInt32;
  # Prompt parts of requests by how far their response had come.
  begun @2 :List(Text);
  sent @3 :List(Text);
}

struct ClearedPart {
  part @0 :Text;
  ageMs @1 :UInt32;
}

struct ServerLoad {
  # Load of the server on the same host as the agent.
  address @0 :Text;
  running @1 :UInt16;
  waiting @2 :UInt16;
  slots @3 :UInt16;
  stalledMs @4 :UInt32;
  group @5 :Text;
  passUs @6 :UInt32;
  isOpen @7 :Bool;
  bornMs @8 :UInt64;
  # Tokens in the key-value cache and its capacity, and the time for the same
  # work relative to normal speed; 0 if unknown.
  kvTokens @9 :UInt32;
  kvCapacityTokens @10 :UInt32;
  pacePercent @11 :UInt32;
}

struct LimitRecord {
  # What a server has said about the request rate that it accepts from all entry
  # hosts together; infinite for none.
  server @0 :Text;
  bornMs @1 :UInt64;
  perS @2 :Float64;
  ageMs @3 :UInt32;
}

struct PermitRequest {
  # A question for the permit to send one request to a limited server.
  number @0 :UInt64;
  replyTo @1 :Text;
  maxWaitMs @2 :UInt32;
  limit @3 :LimitRecord;
}

struct PermitReply {
  number @0 :UInt64;
  isGranted @1 :Bool;
  waitMs @2 :UInt32;
  limit @3 :LimitRecord;
}

struct RankState {
  # State of one rank of a group, as the agent on its host reports it. In
  # optional fields, version 0 and step 0 mean none.
  group @0 :Text;
  host @1 :Text;
  rank @2 :UInt16;
  size @3 :UInt16;
  epoch @4 :UInt64;
  isOpen @5 :Bool;
  bornMs @6 :UInt64;
  step @7 :UInt64;
  mapVersion @8 :UInt64;
  preparedVersion @9 :UInt64;
  armedVersion @10 :UInt64;
  armedStep @11 :UInt64;
  heldStep @12 :UInt64;
  isBusy @13 :Bool;
  pacePercent @14 :UInt32;
}

struct DutyBeat {
  # Heartbeat of the process that holds a group's duty.
  group @0 :Text;
  host @1 :Text;
  term @2 :UInt64;
}

struct ExpertChoices {
  # How often a rank's requests were routed to each expert since its last
  # report.
  group @0 :Text;
  rank @1 :UInt16;
  firstSet @2 :UInt16;
  experts @3 :UInt16;
  unit @4 :UInt32;
  # Four bits for each set and expert, in multiples of `unit`.
  packed @5 :Data;
}

struct Datagram {
  union {
    entryBeat @0 :EntryBeat;
    serverLoad @1 :ServerLoad;
    rankState @2 :RankState;
    expertChoices @3 :ExpertChoices;
    dutyBeat @4 :DutyBeat;
    rankOrder @5 :RankOrder;
    usableHosts @6 :UsableHosts;
    crashNews @7 :CrashNews;
    limitRecord @8 :LimitRecord;
    permitRequest @9 :PermitRequest;
    permitReply @10 :PermitReply;
  }
}

struct Row {
  table @0 :Text;
  key @1 :Text;
  value @2 :Data;
  version @3 :UInt64;
  isRemoved @4 :Bool;
  era @5 :UInt32;
}

struct Snapshot {
  # Rows of the store that a host has cached, for a peer that does not read the
  # store itself.
  serversVersion @0 :UInt64;
  storeAgeMs @1 :UInt32;
  rows @2 :List(Row);
  hostsVersion @3 :UInt64;
  # Whether the rows of a table are all its rows, or changes only.
  hasAllServers @4 :Bool;
  hasAllHosts @5 :Bool;
  # The eras of the versions above.
  serversEra @6 :UInt32;
  hostsEra @7 :UInt32;
  # The configuration, and the version and era of its row.
  configPatches @8 :List(DocumentPatch);
  configRowVersion @9 :UInt64;
  configRowEra @10 :UInt32;
}

struct DocumentPatch {
  # A patch between two versions of a document; base 0 is the empty document.
  base @0 :UInt64;
  version @1 :UInt64;
  # Compressed instructions.
  content @2 :Data;
  # CRC-32 of the resulting document.
  checksum @3 :UInt32;
}

enum ConfigForm { row @0; patches @1; services @2; }

struct SnapshotRequest {
  # Up to which versions the receiver knows the rows.
  serversAfter @0 :UInt64;
  hostsAfter @1 :UInt64;
  configAfter @2 :UInt64;
  wantsServers @3 :Bool;
  # The eras of the versions above.
  serversEra @4 :UInt32;
  hostsEra @5 :UInt32;
  # How the receiver wants the configuration.
  configForm @6 :ConfigForm;
}

enum OrderKind { prepare @0; arm @1; disarm @2; hold @3; go @4; }

struct RankOrder {
  # An order for the server on the same host as the agent.
  kind @0 :OrderKind;
  epoch @1 :UInt64;
  version @2 :UInt64;
  step @3 :UInt64;
  # Encoded expert map: the number of sets and of ranks (16 bits each), the
  # width of an expert number in bytes (8 bits), then the number of experts of
  # each set and rank (8 bits each), then the expert numbers.
  layouts @4 :Data;
  # The host that receives the state after the order.
  giver @5 :Text;
  # Peer addresses to which the agent forwards the order.
  relayTo @6 :List(Text);
}

struct RankLayout {
  epoch @0 :UInt64;
  version @1 :UInt64;
  # Expert numbers by set.
  experts @2 :List(List(UInt16));
}
