#!/bin/sh
# Makes the certificates and keys of the peer link tests: two roots, and entry VMs signed by them.
set -eu
days=36500
root() {
  openssl req -x509 -newkey ec -pkeyopt ec_paramgen_curve:P-256 -nodes -days "$days" \
    -subj "/CN=$1" -keyout "$1.key" -out "$1.pem"
}
leaf() {
  openssl req -newkey ec -pkeyopt ec_paramgen_curve:P-256 -nodes -subj "/CN=$2" \
    -keyout "$3.key" -out "$3.csr"
  openssl x509 -req -in "$3.csr" -CA "$1.pem" -CAkey "$1.key" -CAcreateserial -days "$days" \
    -out "$3.pem"
}
root test-root
root other-root
leaf test-root vm-a vm-a
leaf test-root vm-b vm-b
leaf other-root vm-b vm-b-other-root
rm -f ./*.csr ./*.srl test-root.key other-root.key
