/** A node's settings file as provided by the platform, with an unknown field (`surplus`). */
export const SETTINGS = `
node = "n0"
site = "a"
client_listen = "127.0.0.1:8080"
peer_bind = "127.0.0.1:8081"
surplus = 1
[endpoints]
cloud = "127.0.0.1:1"
state = "127.0.0.1:2"
[deployment]
zones = ["a"]
[[deployment.teams]]
name = "red"
cpus_max = 4.0
[deployment.workers]
report_s = 2.0
lease_s = 14.0
gang_wait_s = 50.0
gang_peer_s = 5.0
cancel_s = 44.0
[deployment.state]
rps = 250.0
write_rps = 100.0
value_kb = 32.0
txn_ops = 48
[deployment.cloud]
rps = 5.0
list_lag_s = 10.0
`;
