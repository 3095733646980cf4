// The registry's core: writes, leases and versions, and by property what watchers see under any interleaving.
#include "registry/core.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <limits>
#include <ostream>

#include "registry/json.hpp"

namespace violetwing::registry {
namespace {

constexpr Micros kSecond = 1'000'000;
constexpr std::int64_t kBegin = kEpochUnit;  // epoch 1, before its first change

Entry Server(const std::string& id, const std::string& holder = "", const std::string& zone = "a") {
  Entry entry;
  entry.id = id;
  entry.address = "127.0.0.1:80";
  entry.zone = zone;
  entry.holder = holder;
  entry.term = holder.empty() ? 0 : 5 * kSecond;
  return entry;
}

Operation Register(Entry entry) { return {Operation::Kind::kRegister, std::move(entry), {}}; }

Operation Of(Operation::Kind kind, const std::string& id, const std::string& holder = "") {
  Operation operation{kind, {}, {}};
  operation.entry.id = id;
  operation.entry.holder = holder;
  return operation;
}

class CoreTest : public ::testing::Test {
 protected:
  Refusal Do(const Batch& batch) {
    const Checked checked = core.Check(batch);
    if (checked.change) core.Commit(now, *checked.change);
    return checked.refusal;
  }
  Refusal Do(Operation operation) { return Do(Batch{{std::move(operation)}, ""}); }
  void Expire() {
    const Checked checked = core.CheckExpiries(now);
    if (checked.change) core.Commit(now, *checked.change);
  }

  Micros now = 0;
  Core core{Limits(), Core::State(), 0};
};

TEST_F(CoreTest, EachChangeIsAVersionAndNoChangeIsNone) {
  EXPECT_EQ(core.generation(), kBegin);
  EXPECT_EQ(Do(Register(Server("s1"))), Refusal::kNone);
  EXPECT_EQ(core.generation(), kBegin + 1);
  EXPECT_EQ(Do(Register(Server("s1"))), Refusal::kNone);  // as it is
  EXPECT_EQ(core.generation(), kBegin + 1);
  EXPECT_EQ(Do(Of(Operation::Kind::kDrain, "s1")), Refusal::kNone);
  EXPECT_EQ(Do(Of(Operation::Kind::kDeregister, "s1")), Refusal::kNone);
  EXPECT_EQ(core.generation(), kBegin + 3);
  EXPECT_EQ(Do(Of(Operation::Kind::kDeregister, "s1")), Refusal::kUnknown);
}

TEST_F(CoreTest, ABatchIsOneVersionOrNothing) {
  EXPECT_EQ(Do(Batch{{Register(Server("s1")), Of(Operation::Kind::kDrain, "s2")}, ""}), Refusal::kUnknown);
  EXPECT_EQ(core.Find("s1"), nullptr);
  EXPECT_EQ(
      Do(Batch{{Register(Server("s1")), Register(Server("s2")), Of(Operation::Kind::kDrain, "s2")}, ""}),
      Refusal::kNone);
  EXPECT_EQ(core.generation(), kBegin + 1);
  EXPECT_EQ(core.Find("s2")->lifecycle, Lifecycle::kDraining);
}

TEST_F(CoreTest, ComparesAndSetsByVersion) {
  Operation first = Register(Server("s1"));
  first.if_version = 0;
  EXPECT_EQ(Do(first), Refusal::kNone);
  EXPECT_EQ(Do(first), Refusal::kConflict);
  Operation drain = Of(Operation::Kind::kDrain, "s1");
  drain.if_version = core.VersionOf("s1");
  EXPECT_EQ(Do(Register(Server("s2"))), Refusal::kNone);  // another entry's change does not count
  EXPECT_EQ(Do(drain), Refusal::kNone);
  EXPECT_EQ(Do(drain), Refusal::kConflict);
}

TEST_F(CoreTest, ARepeatOfABatchDoesNothingAndGetsTheFirstAnswer) {
  const Batch batch{{Register(Server("s1"))}, "k1"};
  EXPECT_EQ(core.Check(batch).generation, kBegin + 1);
  EXPECT_EQ(Do(batch), Refusal::kNone);
  EXPECT_EQ(Do(Of(Operation::Kind::kDeregister, "s1")), Refusal::kNone);
  EXPECT_EQ(core.Check(batch).generation, kBegin + 1);
  EXPECT_EQ(Do(batch), Refusal::kNone);
  EXPECT_EQ(core.Find("s1"), nullptr);
}

TEST_F(CoreTest, HostileEntriesAreRefusedAndNothingIsStored) {
  std::vector<Entry> wrong(14, Server("s1"));
  wrong[0].id = "";
  wrong[1].id = std::string(129, 'x');
  wrong[2].id = "a b";
  wrong[3].id = "a\nb";
  wrong[4].address = "localhost:80";
  wrong[5].address = "127.0.0.1:65536";
  wrong[6].address = "127.0.0.256:80";
  wrong[7].zone = "a,b";
  wrong[8].weight = -1;
  wrong[9].weight = std::numeric_limits<double>::quiet_NaN();
  wrong[10].started_ms = -1;
  wrong[11].holder = "p1";   // without a term
  wrong[12].term = kSecond;  // without a holder
  wrong[13].version = std::string(1, '\0');
  for (const Entry& entry : wrong) {
    const Checked checked = core.Check({{Register(Server("s9")), Register(entry)}, ""});
    EXPECT_EQ(checked.refusal, Refusal::kInvalid) << entry.id;
    EXPECT_FALSE(checked.change);
    EXPECT_EQ(checked.why.find('\0'), std::string::npos);
  }
  EXPECT_EQ(core.generation(), kBegin);
  EXPECT_THROW(ParseBatch("{\"operations\":[{\"do\":\"register\",\"entry\":{\"instanceid\":\"s\"}}]}"),
               JsonError);
  EXPECT_THROW(ParseBatch("{\"operations\":[{\"do\":\"explode\",\"id\":\"s\"}]}"), JsonError);
  EXPECT_THROW(ParseBatch("[1"), JsonError);
}

TEST_F(CoreTest, AnIdThatTwoProcessesRegisterIsTheFirstOnes) {
  EXPECT_EQ(Do(Register(Server("s1", "p1"))), Refusal::kNone);
  EXPECT_EQ(Do(Register(Server("s1", "p2"))), Refusal::kConflict);
  EXPECT_EQ(Do(Of(Operation::Kind::kDeregister, "s1", "p2")), Refusal::kConflict);
  EXPECT_EQ(core.Renew(now, "s1", "p2"), Refusal::kConflict);
  EXPECT_EQ(core.Renew(now, "s2", "p2"), Refusal::kUnknown);
  now = 5 * kSecond;
  Expire();
  EXPECT_EQ(Do(Register(Server("s1", "p2"))), Refusal::kNone);
}

TEST_F(CoreTest, ALeaseEndsUnlessItIsRenewed) {
  Do(Register(Server("s1", "p1")));
  Do(Register(Server("s2")));
  now = 4 * kSecond;
  EXPECT_EQ(core.Renew(now, "s1", "p1"), Refusal::kNone);
  const std::int64_t before = core.generation();
  now = 8 * kSecond;
  Expire();
  EXPECT_EQ(core.generation(), before);
  now = 9 * kSecond;
  Expire();
  EXPECT_EQ(core.Find("s1"), nullptr);
  EXPECT_NE(core.Find("s2"), nullptr);
}

TEST_F(CoreTest, ADrainRacingARenewalStaysADrain) {
  Do(Register(Server("s1", "p1")));
  now = 4 * kSecond;
  Do(Of(Operation::Kind::kDrain, "s1"));
  now = 4 * kSecond + 1;
  EXPECT_EQ(core.Renew(now, "s1", "p1"), Refusal::kNone);
  EXPECT_EQ(core.Find("s1")->lifecycle, Lifecycle::kDraining);
  now = 8 * kSecond;
  Expire();
  EXPECT_NE(core.Find("s1"), nullptr);
}

TEST_F(CoreTest, ADrainIsNoSignOfLife) {
  Do(Register(Server("s1", "p1")));
  now = 4 * kSecond;
  Do(Of(Operation::Kind::kDrain, "s1"));
  now = 5 * kSecond;
  Expire();
  EXPECT_EQ(core.Find("s1"), nullptr);
}

TEST_F(CoreTest, AfterAPauseEveryLeaseHasAFullTerm) {
  Do(Register(Server("s1", "p1")));
  now = 60 * kSecond;
  core.AfterPause(now);
  Expire();
  EXPECT_NE(core.Find("s1"), nullptr);
  now = 65 * kSecond;
  Expire();
  EXPECT_EQ(core.Find("s1"), nullptr);
}

TEST_F(CoreTest, AfterARestartEveryLeaseHasAFullTerm) {
  Core::State state;
  state.change = 7;
  state.entries["s1"] = {Server("s1", "p1"), kBegin + 7};
  Core again(Limits(), state, 100 * kSecond);
  EXPECT_EQ(again.generation(), kBegin + 7);
  EXPECT_FALSE(again.CheckExpiries(105 * kSecond - 1).change);
  EXPECT_TRUE(again.CheckExpiries(105 * kSecond).change);
}

class PreservingTest : public CoreTest {
 protected:
  PreservingTest() {
    for (int i = 0; i < 10; ++i) Do(Register(Server("a" + std::to_string(i), "p", "a")));
    for (int i = 0; i < 10; ++i) Do(Register(Server("b" + std::to_string(i), "p", "b")));
  }
  void RenewAll(int from) {
    for (int i = from; i < 10; ++i) core.Renew(now, "a" + std::to_string(i), "p");
    for (int i = 0; i < 10; ++i) core.Renew(now, "b" + std::to_string(i), "p");
  }
};

TEST_F(PreservingTest, AFewEndsAreBelieved) {
  now = 4 * kSecond;
  RenewAll(3);
  now = 5 * kSecond;
  Expire();
  EXPECT_EQ(core.Count(now).up, 17U);
  EXPECT_TRUE(core.preserving().empty());
}

TEST_F(PreservingTest, ManyEndsInOneZoneAreNotAndTheOtherZoneGoesOn) {
  now = 4 * kSecond;
  RenewAll(4);
  core.Renew(now, "b0", "p");
  now = 5 * kSecond;
  Expire();
  EXPECT_EQ(core.Count(now).up, 20U);
  EXPECT_EQ(core.preserving(), (std::set<std::string>{"a"}));
  EXPECT_EQ(core.Count(now).overdue, 4U);
  RenewAll(1);  // they come back, but for one
  Expire();
  EXPECT_TRUE(core.preserving().empty());
  EXPECT_EQ(core.Find("a0"), nullptr);
  EXPECT_EQ(core.Count(now).up, 19U);
}

// Leases were taken one after another, so they would end one after another too.
TEST_F(PreservingTest, EndsThatTrickleInAreOneEvent) {
  for (int i = 0; i < 10; ++i) core.Renew(now + i * kSecond / 10, "a" + std::to_string(i), "p");
  now = 4 * kSecond;
  for (int i = 0; i < 10; ++i) core.Renew(now, "b" + std::to_string(i), "p");
  for (now = 5 * kSecond; now < 8 * kSecond; now += kSecond / 20) Expire();
  EXPECT_EQ(core.Count(now).up, 20U);
}

TEST_F(PreservingTest, AnOperatorMayBelieveThem) {
  now = 4 * kSecond;
  RenewAll(10);
  now = 6 * kSecond;
  Expire();
  ASSERT_EQ(core.Count(now).up, 20U);
  core.StopPreserving("a");
  Expire();
  EXPECT_EQ(core.Count(now).up, 10U);
  EXPECT_TRUE(core.preserving().empty());
}

TEST_F(CoreTest, AWatcherThatAsksForWhatIsNotKeptGetsTheWholeList) {
  Limits limits;
  limits.log = 4;
  Core small(limits, Core::State(), 0);
  for (int i = 0; i < 10; ++i) {
    const Checked checked = small.Check({{Register(Server("s" + std::to_string(i)))}, ""});
    small.Commit(0, *checked.change);
  }
  EXPECT_FALSE(small.Since(small.generation()).reset);
  EXPECT_EQ(small.Since(small.generation() - 4).entries.size(), 4U);
  EXPECT_FALSE(small.Since(small.generation() - 4).reset);
  EXPECT_TRUE(small.Since(small.generation() - 5).reset);  // compaction is told
  EXPECT_TRUE(small.Since(0).reset);
  EXPECT_TRUE(small.Since(small.generation() + 1).reset);  // of a later epoch
  EXPECT_TRUE(small.Ahead(small.generation() + 1));
}

TEST_F(CoreTest, AHigherEpochIsAboveEverythingBefore) {
  for (int i = 0; i < 100; ++i) Do(Register(Server("s" + std::to_string(i))));
  Core::State state;
  state.epoch = 2;
  EXPECT_GT(Core(Limits(), state, 0).generation(), core.generation());
}

// A follower that could not store what it was told would miss it for good if it took what came next.
TEST_F(CoreTest, AFollowerTakesNoChangesThatLeaveVersionsOut) {
  Core follower{Limits(), Core::State(), 0};
  Do(Register(Server("s1")));
  const Replica lost = core.ReplicaSince(follower.generation());
  Do(Register(Server("s2")));
  const Replica next = core.ReplicaSince(lost.owed.generation);
  EXPECT_EQ(follower.CheckReplica(next).refusal, Refusal::kGap);
  EXPECT_EQ(follower.CheckReplica(core.ReplicaSince(follower.generation())).refusal, Refusal::kNone);
  EXPECT_EQ(follower.CheckReplica(core.ReplicaSince(0)).refusal, Refusal::kNone);  // the whole list
}

// ---- Any interleaving ----

// One step of a run: what it does and to whom, by small numbers so that failures shrink to short runs.
struct Step {
  int what = 0;
  int who = 0;
  int more = 0;
};

std::ostream& operator<<(std::ostream& out, const Step& step) {
  return out << "{" << step.what << "," << step.who << "," << step.more << "}";
}

using View = std::map<std::string, Entry>;

void Take(View& view, std::int64_t& index, const Owed& owed) {
  if (owed.reset) view.clear();
  for (const Entry& entry : owed.entries) {
    if (entry.lifecycle == Lifecycle::kRemoved) {
      view.erase(entry.id);
    } else {
      view[entry.id] = entry;
    }
  }
  RC_ASSERT(owed.generation >= index);
  index = owed.generation;
}

// Watchers read at any time, some rarely; the log is short, so that some are outrun. Restarts keep what a
// store keeps.
void AnyRun(const std::vector<Step>& steps) {
  Limits limits;
  limits.log = 5;
  Core core(limits, Core::State(), 0);
  std::map<std::string, std::pair<Entry, std::int64_t>> stored;
  std::vector<View> views(3);
  std::vector<std::int64_t> indexes(3, 0);
  Micros now = 0;
  const auto commit = [&](const Checked& checked) {
    if (!checked.change) return;
    const std::int64_t before = core.generation();
    core.Commit(now, *checked.change);
    RC_ASSERT(core.generation() == before + 1);
    for (const Entry& entry : checked.change->entries) {
      if (entry.lifecycle == Lifecycle::kRemoved) {
        stored.erase(entry.id);
      } else {
        stored[entry.id] = {entry, checked.change->generation};
      }
    }
  };
  for (const Step& step : steps) {
    const std::string id = "s" + std::to_string(step.who % 6);
    const std::string holder = step.more % 3 == 0 ? "" : "p" + std::to_string(step.more % 2);
    switch (step.what % 8) {
      case 0:
      case 1:
        commit(core.Check({{Register(Server(id, holder, step.who % 2 == 0 ? "a" : "b"))}, ""}));
        break;
      case 2:
        commit(core.Check({{Of(Operation::Kind::kDrain, id, holder)}, ""}));
        break;
      case 3:
        commit(core.Check({{Of(Operation::Kind::kDeregister, id, holder)}, ""}));
        break;
      case 4:
        core.Renew(now, id, holder);
        break;
      case 5:
        now += (step.more % 8) * kSecond;
        commit(core.CheckExpiries(now));
        break;
      case 6: {
        const auto watcher = static_cast<std::size_t>(step.who % 3);
        Take(views[watcher], indexes[watcher], core.Since(indexes[watcher]));
        break;
      }
      default: {
        Core::State state;
        state.change = core.generation() % kEpochUnit;
        state.entries = stored;
        core = Core(limits, state, now);
        break;
      }
    }
  }
  View list;
  for (const Entry& entry : core.Whole().entries) list[entry.id] = entry;
  for (std::size_t watcher = 0; watcher < views.size(); ++watcher) {
    Take(views[watcher], indexes[watcher], core.Since(indexes[watcher]));
    RC_ASSERT(views[watcher] == list);
  }
}

// A primary, a follower, a follower of that one and a watcher there; now and then the first two change roles,
// with or without the last writes.
void AnyReplication(const std::vector<Step>& steps) {
  Limits limits;
  limits.log = 5;
  limits.keys = 4;
  std::vector<Core> cores(3, Core(limits, Core::State(), 0));
  std::int64_t epoch = 1;
  View view;
  std::int64_t index = 0;
  const auto take = [&](std::size_t to, std::size_t from) {
    const Replica told = ParseReplica(ReplicaText(cores[from].ReplicaSince(cores[to].generation())));
    const Checked checked = cores[to].CheckReplica(told);
    RC_ASSERT(checked.refusal == Refusal::kNone || checked.refusal == Refusal::kOld);
    if (checked.change) cores[to].Commit(0, *checked.change);
  };
  int written = 0;
  for (const Step& step : steps) {
    const std::string id = "s" + std::to_string(step.who % 6);
    const std::string key = step.more % 2 == 0 ? "" : "k" + std::to_string(written++);
    Entry entry = Server(id);
    entry.cell = step.more;
    Checked checked;
    switch (step.what % 8) {
      case 0:
      case 1:
        checked = cores[0].Check({{Register(entry)}, key});
        break;
      case 2:
        checked = cores[0].Check({{Of(Operation::Kind::kDrain, id)}, key});
        break;
      case 3:
        checked = cores[0].Check({{Of(Operation::Kind::kDeregister, id)}, key});
        break;
      case 4:
        take(1, 0);
        break;
      case 5:
        take(2, 1);
        break;
      case 6:
        Take(view, index, cores[2].Since(index));
        break;
      default:
        checked = cores[1].CheckPromotion(++epoch);
        cores[1].Commit(0, *checked.change);
        std::swap(cores[0], cores[1]);
        checked = {};
        break;
    }
    if (checked.change) cores[0].Commit(0, *checked.change);
  }
  take(1, 0);
  take(2, 1);
  Take(view, index, cores[2].Since(index));
  const Replica whole = cores[0].ReplicaSince(0);
  for (const Core& core : cores) {
    const Replica other = core.ReplicaSince(0);
    RC_ASSERT(other.owed.entries == whole.owed.entries);
    RC_ASSERT(other.changed == whole.changed);
    RC_ASSERT(other.keys == whole.keys);
    RC_ASSERT(core.generation() == cores[0].generation());
  }
  View list;
  for (const Entry& entry : whole.owed.entries) list[entry.id] = entry;
  RC_ASSERT(view == list);
}

// The seed and the number of runs stand in CMakeLists.txt (RC_PARAMS), so that each run is the same.
RC_GTEST_PROP(CoreProperty, EveryWatcherEndsWithExactlyTheRegistrysList, ()) {
  const auto step = rc::gen::build<Step>(rc::gen::set(&Step::what, rc::gen::inRange(0, 8)),
                                         rc::gen::set(&Step::who, rc::gen::inRange(0, 6)),
                                         rc::gen::set(&Step::more, rc::gen::inRange(0, 8)));
  AnyRun(*rc::gen::container<std::vector<Step>>(step));
}

RC_GTEST_PROP(CoreProperty, EveryFollowerEndsAsItsPrimaryWhoeverThatWas, ()) {
  const auto step = rc::gen::build<Step>(rc::gen::set(&Step::what, rc::gen::inRange(0, 8)),
                                         rc::gen::set(&Step::who, rc::gen::inRange(0, 6)),
                                         rc::gen::set(&Step::more, rc::gen::inRange(0, 8)));
  AnyReplication(*rc::gen::container<std::vector<Step>>(step));
}

}  // namespace
}  // namespace violetwing::registry
