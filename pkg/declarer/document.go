package declarer

// Document is a set in the form in which it is written down, sent and stored.
// Any codec can encode it.
type Document struct {
	Place   []Place   `toml:",omitempty"`
	Service []Service `toml:",omitempty"`
	Team    []Team    `toml:",omitempty"`
	Key     []Key     `toml:",omitempty"`
	Version []Version `toml:",omitempty"`
	Move    []Move    `toml:",omitempty"`
	Route   []Route   `toml:",omitempty"`
}

// Document returns the set in written form.
func (s Set) Document() Document {
	return Document{
		Place:   s.Places.Rows(),
		Service: s.Services.Rows(),
		Team:    s.Teams.Rows(),
		Key:     s.Keys.Rows(),
		Version: s.Versions.Rows(),
		Move:    s.Moves.Rows(),
		Route:   s.Routes.Rows(),
	}
}

// Set returns the objects as a set. Of two objects with the same kind and name
// the last counts; Repeated finds such pairs.
func (d Document) Set() Set {
	return Set{
		Places:   NewTable(d.Place...),
		Services: NewTable(d.Service...),
		Teams:    NewTable(d.Team...),
		Keys:     NewTable(d.Key...),
		Versions: NewTable(d.Version...),
		Moves:    NewTable(d.Move...),
		Routes:   NewTable(d.Route...),
	}
}

// WithDocument returns a document with the objects of both.
func (d Document) WithDocument(other Document) Document {
	return Document{
		Place:   join(d.Place, other.Place),
		Service: join(d.Service, other.Service),
		Team:    join(d.Team, other.Team),
		Key:     join(d.Key, other.Key),
		Version: join(d.Version, other.Version),
		Move:    join(d.Move, other.Move),
		Route:   join(d.Route, other.Route),
	}
}

// Reference names one object.
type Reference struct {
	Kind Kind
	Name string
}

// String returns the kind and the name.
func (r Reference) String() string {
	return string(r.Kind) + " " + r.Name
}

// Repeated returns the objects that stand in the document more than once.
func (d Document) Repeated() []Reference {
	var found []Reference
	found = append(found, repeated(KindPlace, d.Place)...)
	found = append(found, repeated(KindService, d.Service)...)
	found = append(found, repeated(KindTeam, d.Team)...)
	found = append(found, repeated(KindKey, d.Key)...)
	found = append(found, repeated(KindVersion, d.Version)...)
	found = append(found, repeated(KindMove, d.Move)...)
	found = append(found, repeated(KindRoute, d.Route)...)
	return found
}

func join[T any](first, second []T) []T {
	joined := make([]T, 0, len(first)+len(second))
	joined = append(joined, first...)
	return append(joined, second...)
}

func repeated[T Named](kind Kind, rows []T) []Reference {
	var found []Reference
	seen := make(map[string]int, len(rows))
	for _, row := range rows {
		name := row.ObjectName()
		seen[name]++
		if seen[name] == 2 {
			found = append(found, Reference{
				Kind: kind,
				Name: name,
			})
		}
	}
	return found
}
