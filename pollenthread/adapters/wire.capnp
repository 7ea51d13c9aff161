@0xd3a1c07f5b2e9461;
# Messages between processes of the system, one per frame of a link.

struct Header { name @0 :Text; value @1 :Text; }

struct Hello {
  host @0 :Text;
  role @1 :Text;
  incarnation @2 :Text;
  dataCentre @3 :Text;
  region @4 :Text;
  session @5 :Text;
  kind @6 :Text;
  name @7 :Text;
  models @8 :List(Text);
}

struct Ping { seq @0 :UInt64; configVersion @1 :UInt64; }
struct Pong { seq @0 :UInt64; configVersion @1 :UInt64; }

struct Begin {
  attempt @0 :Text;
  session @1 :Text;
  workspace @2 :Text;
  workClass @3 :Text;
  importance @4 :UInt8;
  repeatable @5 :Bool;
  key @6 :Text;
  deadlineMs @7 :UInt32;
  targetMs @8 :UInt32;
  whole @9 :Bool;
  betweenTokensMs @10 :UInt32;
  stream @11 :Bool;
  window @12 :UInt64;
  method @13 :Text;
  path @14 :Text;
  headers @15 :List(Header);
  body @16 :Data;
}

struct Head {
  attempt @0 :Text;
  status @1 :UInt16;
  headers @2 :List(Header);
  waitedMs @3 :UInt32;
}

struct Chunk {
  attempt @0 :Text;
  offset @1 :UInt64;
  count @2 :UInt64;
  data @3 :Data;
}

struct End { attempt @0 :Text; offset @1 :UInt64; }
struct Fail { attempt @0 :Text; kind @1 :Text; detail @2 :Text; ran @3 :Text; }
struct Credit { attempt @0 :Text; offset @1 :UInt64; window @2 :UInt64; }
struct Cancel { attempt @0 :Text; }
struct Seal { attempt @0 :Text; session @1 :Text; }
struct Sealed { attempt @0 :Text; state @1 :Text; }
struct Resume { attempt @0 :Text; offset @1 :UInt64; window @2 :UInt64; }
struct Confirm { attempt @0 :Text; }

struct Load {
  running @0 :UInt32;
  queued @1 :List(UInt32);
  limit @2 :UInt32;
  holdUs @3 :UInt64;
  firstUnitUs @4 :UInt64;
  tokenUs @5 :UInt32;
  own @6 :UInt32;
  seen @7 :UInt64;
}

struct Leaving { host @0 :Text; }

struct ConfigNews { version @0 :UInt64; }
struct ConfigAsk { seq @0 :UInt64; version @1 :UInt64; }

struct ConfigGive {
  seq @0 :UInt64;
  version @1 :UInt64;
  isProved @2 :Bool;
  ageMs @3 :UInt64;
  document @4 :Data;
}

struct HostNews {
  host @0 :Text;
  incarnation @1 :Text;
  state @2 :Text;
  reporter @3 :Text;
  reporterIncarnation @4 :Text;
  number @5 :UInt64;
}

struct DutyNews { duty @0 :Text; }

struct OrderSend {
  id @0 :Text;
  duty @1 :Text;
  number @2 :UInt64;
  host @3 :Text;
  kind @4 :Text;
  arguments @5 :Text;
  fencing @6 :UInt64;
  incarnation @7 :Text;
  settledBelow @8 :UInt64;
  keyId @9 :Text;
  signature @10 :Data;
}

struct OrderReply {
  id @0 :Text;
  answer @1 :Text;
  done @2 :Bool;
  detail @3 :Text;
}

struct Unconfirmed {
  attempt @0 :Text;
  workspace @1 :Text;
  key @2 :Text;
  stream @3 :Bool;
}
struct Group { group @0 :Text; kind @1 :Text; body @2 :Data; }

struct Served {
  attempt @0 :Text;
  queuedUs @1 :UInt64;
  upstreamUs @2 :UInt64;
}

struct Message {
  union {
    hello @0 :Hello;
    ping @1 :Ping;
    pong @2 :Pong;
    begin @3 :Begin;
    head @4 :Head;
    chunk @5 :Chunk;
    end @6 :End;
    fail @7 :Fail;
    credit @8 :Credit;
    cancel @9 :Cancel;
    seal @10 :Seal;
    sealed @11 :Sealed;
    resume @12 :Resume;
    confirm @13 :Confirm;
    load @14 :Load;
    leaving @15 :Leaving;
    confignews @16 :ConfigNews;
    configask @17 :ConfigAsk;
    configgive @18 :ConfigGive;
    hostnews @19 :HostNews;
    dutynews @20 :DutyNews;
    ordersend @21 :OrderSend;
    orderreply @22 :OrderReply;
    unconfirmed @23 :Unconfirmed;
    group @24 :Group;
    served @25 :Served;
  }
}
