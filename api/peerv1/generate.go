// Package peerv1 holds the messages between the daemons of a deployment.
//
// Requests and answers travel as RequestFrame on one shared stream of a
// session, control messages as Control on another. Each message is preceded
// by its length as an unsigned varint. The generated code is committed; the
// command below needs protoc and writes it anew.
package peerv1

//go:generate sh generate.sh
