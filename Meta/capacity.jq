# Works out the table of docs/CAPACITY.md from the recorded slopes.
# Sizes of the plan:
7300 as $nodes | 84000 as $searchers | 3500000 as $queries | 1800 as $fanout |
19000 as $changes | 9760 as $restarts | 16 as $cell |
86400 as $day |
def round2: (. * 100 | round) / 100;
def at($mechanism; $size):
  .[] | select(.mechanism == $mechanism) | .samples[] | select(.size == $size);
(at("batch codec"; 32)) as $codec |
(at("query engine"; 1800)) as $engine |
(at("dispatch gate"; 12)) as $gate |
(at("lease voter"; 48)) as $lease |
(at("membership"; 7300)) as $members |
(at("configuration"; 84000)) as $configuration |
($queries * $fanout / $nodes) as $perNode |
($queries * $fanout / $searchers) as $perSearcher |
"| role and mechanism | rate a node | processor time a node | bytes a second a node | slope |",
"| --- | --- | --- | --- | --- |",
"| query engine: plan, hedge, merge | \($perNode | round) sub-queries/s | \($perNode * $engine.nanoseconds / 1e9 | round2) cores | - | \($engine.nanoseconds) ns a sub-query at 1,800 shards |",
"| link between nodes: batch codec | \($perNode | round) sub-queries/s out and as many in | \($perNode * $codec.nanoseconds / 1e9 | round2) cores | \($perNode * $codec.bytes / 1e6 | round) MB/s | \($codec.nanoseconds) ns and \($codec.bytes) bytes a sub-query and answer in batches of 32 |",
"| dispatch gate | \($perNode | round) sub-queries/s over 12 targets | \($perNode * $gate.nanoseconds / 1e9 | round2) cores | - | \($gate.nanoseconds) ns a sub-query at 12 targets |",
"| control: leases in a cell of \($cell) | \($cell * 2) requests/s as voter, as many as holder | \(2 * $cell * 2 * $lease.nanoseconds / 1e9 * 100 | round2)% of a core | \($cell * 2 * $lease.bytes | round) | \($lease.nanoseconds) ns and \($lease.bytes) bytes a request of 48 buckets with its reply |",
"| control: heartbeats | 2 periods/s | \(2 * $members.nanoseconds / 1e9 * 100 | round2)% of a core | \(2 * $members.bytes | round) sent | \($members.nanoseconds) ns and \($members.bytes) bytes a period at 7,300 nodes |",
"| control: configuration, whole | \($changes / $day | round2) revisions/s | \($changes / $day * $configuration.nanoseconds / 1e9 * 100 | round2)% of a core | \($changes / $day * $configuration.bytes | round) | \($configuration.nanoseconds / 1e6 | round) ms and \($configuration.bytes / 1e6 | round2) MB a revision of 84,000 targets |",
"| searcher | \($perSearcher | round) sub-queries/s | \(1e6 * 2 / $perSearcher | round2) us a sub-query with 2 slots | - | arithmetic |"
