package rig4

import (
	"encoding/base64"
	"fmt"
	"strings"

	"fescuebank"
)

// bodyBytes is the size of an item's body.
const bodyBytes = 1500

// TeamsOf returns the names of teams of an owner while all owners are listed.
func TeamsOf(owner string, owners, count int) []string {
	return TeamsWith(owners, count, func(list *fescuebank.OwnerList, team fescuebank.TeamID) bool {
		holder, _ := list.Owner(team)
		return string(holder.ID) == owner
	})
}

// TeamsWith returns the names of teams that meet a condition on the list of all owners.
func TeamsWith(owners, count int, isSuitable func(*fescuebank.OwnerList, fescuebank.TeamID) bool) []string {
	list := &fescuebank.OwnerList{}
	for i := range owners {
		list.Owners = append(list.Owners, fescuebank.Holder{ID: fescuebank.InstanceID(fmt.Sprintf("store-%d", i))})
	}
	var teams []string
	for i := 0; len(teams) < count; i++ {
		if team := fescuebank.TeamID(fmt.Sprintf("team%d", i)); isSuitable(list, team) {
			teams = append(teams, string(team))
		}
	}
	return teams
}

// JobBody returns the body of the submission of a job. The ids of its items begin with that of the job.
func JobBody(id string, items int) string {
	body := base64.StdEncoding.EncodeToString([]byte(strings.Repeat("p", bodyBytes)))
	list := make([]string, items)
	for i := range list {
		list[i] = fmt.Sprintf(`{"id":"%s-%d","path":"/jobs/%s/%d","headers":{"X-Fescuebank-Model":"m","X-Fescuebank-Token-Usage":"350,1836","X-Fescuebank-Prompt-Prefix":"9c2e41:100,%x:250"},"body":%q,"tokens":2186}`,
			id, i, id, i, i+1, body)
	}
	return `{"items":[` + strings.Join(list, ",") + `]}`
}
