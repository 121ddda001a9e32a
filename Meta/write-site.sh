#!/usr/bin/env bash
# Writes the shape of a site as JSON: its services, and one target a searcher.
# A service of N searchers has N/2 positions, each held by two or three
# replicas in different failure domains, and one shard a position.
# The median of the service time is SERVICE_MS, 4 ms if it is left out.
# Versions 8 and 9 are not published at first; 9 is repartitioned.
set -euo pipefail

usage() {
  echo "usage: Meta/write-site.sh gelo-volta|vialtec-andino SCALE FIRST_PORT" \
    "[SERVICE_MS]" >&2
  exit 2
}
[ $# -eq 3 ] || [ $# -eq 4 ] || usage

case "$1" in
  gelo-volta)
    shape='{"region":"sul-rs","domains":["caxias-a","caxias-b","bento-c"],
      "services":[
       {"name":"painel-doca","class":"dock","searchers":40,"slots":2,
        "connections":25,"connect_cost_ms":6,"weight":4,"share":0},
       {"name":"credito-retorno","class":"credit","searchers":60,"slots":2,
        "connections":25,"connect_cost_ms":6,"weight":3,"share":0.1},
       {"name":"cadastro-cliente","class":"registry","searchers":10,"slots":2,
        "connections":35,"connect_cost_ms":1,"weight":2,"share":0},
       {"name":"rota-vans","class":"vans","searchers":5,"slots":2,
        "connections":35,"connect_cost_ms":1,"weight":1,"share":0.5}]}'
    ;;
  vialtec-andino)
    shape='{"region":"sierra-norte",
      "domains":["quito-a","quito-b","ibarra-a","latacunga-a"],
      "services":[
       {"name":"consulta-campo","class":"field","searchers":40,"slots":2,
        "connections":25,"connect_cost_ms":6,"weight":4,"share":0},
       {"name":"auditoria-min","class":"audit","searchers":60,"slots":2,
        "connections":25,"connect_cost_ms":6,"weight":3,"share":0},
       {"name":"archivo-fichas","class":"archive","searchers":4,"slots":6,
        "connections":110,"connect_cost_ms":1,"weight":2,"share":0},
       {"name":"facturacion-vial","class":"billing","searchers":4,"slots":6,
        "connections":110,"connect_cost_ms":1,"weight":1,"share":0.5}]}'
    ;;
  *) usage ;;
esac

jq -n --arg site "$1" --argjson scale "$2" --argjson first_port "$3" \
  --argjson service_ms "${4:-4}" --argjson shape "$shape" '
  def scaled: ([(. * $scale | floor), 4] | max);
  def pad: tostring | if length < 2 then "0" + . else . end;
  ($shape.domains | length) as $domains
  | [$shape.services[]
     | .searchers |= scaled
     | .positions = (.searchers / 2 | floor)] as $services
  | {site: $site, region: $shape.region, domains: $shape.domains,
     services: [$services[]
       | {name, class, weight, non_idempotent_share: .share,
          versions: [{version: 7, shard_count: .positions},
                     {version: 8, shard_count: .positions},
                     {version: 9, shard_count: (2 * .positions)}]}],
     targets: ([$services[] as $service
       | range($service.searchers)
       | (. % $service.positions) as $position
       | ((. / $service.positions) | floor) as $replica
       | {name: ($service.name + "-" + pad), service: $service.name,
          domain: $shape.domains[($position + $replica) % $domains],
          slots: $service.slots, connections: $service.connections,
          connect_cost_ms: $service.connect_cost_ms,
          service_ms: $service_ms,
          position: $position, positions: $service.positions,
          versions: [{version: 7, shard_count: $service.positions}]}]
       | to_entries
       | map(.value
         + {address: ("127.0.0.1:" + ($first_port + .key | tostring))}))}'
