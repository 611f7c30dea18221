package platform

import (
	"net/http"

	"github.com/chiveramp/chiveramp/internal/platform"
)

// CallsReply is the reply to GET /standin/calls.
type CallsReply struct {
	Calls   platform.Calls `json:"calls"`
	Reads   uint64         `json:"reads"`
	Writes  uint64         `json:"writes"`
	Refused uint64         `json:"refused"`
}

func (s *Server) putFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if decodeBody(w, r, &faults) {
		s.SetFaults(faults)
		writeJSON(w, http.StatusOK, faults)
	}
}

func (s *Server) getFaults(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Faults())
}

func (s *Server) putMember(w http.ResponseWriter, r *http.Request) {
	var member Member
	if !decodeBody(w, r, &member) {
		return
	}
	if member.Service == "" || member.Name == "" {
		http.Error(w, "service and name are needed", http.StatusBadRequest)
		return
	}
	s.SetMember(member)
	writeJSON(w, http.StatusOK, member)
}

// RestoreRequest is the body of PUT /standin/restore.
type RestoreRequest struct {
	// Changes is the number of list changes to keep.
	Changes int `json:"changes"`
}

func (s *Server) putRestore(w http.ResponseWriter, r *http.Request) {
	var restore RestoreRequest
	if decodeBody(w, r, &restore) {
		s.RestoreMembers(restore.Changes)
		writeJSON(w, http.StatusOK, restore)
	}
}

func (s *Server) getCalls(w http.ResponseWriter, _ *http.Request) {
	calls := s.Calls()
	writeJSON(w, http.StatusOK, CallsReply{
		Calls:   calls,
		Reads:   calls.Reads(),
		Writes:  calls.Writes(),
		Refused: s.Refused(),
	})
}
