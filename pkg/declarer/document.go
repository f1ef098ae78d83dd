package declarer

// Document is a set in the form that files, messages and the store hold. Any codec
// can encode it. Each field holds the objects of the kind of its name, in any order;
// in TOML the field is an array of tables, such as [[Place]].
type Document struct {
	Place   []Place   `toml:",omitempty"`
	Service []Service `toml:",omitempty"`
	Team    []Team    `toml:",omitempty"`
	Key     []Key     `toml:",omitempty"`
	Version []Version `toml:",omitempty"`
	Move    []Move    `toml:",omitempty"`
	Route   []Route   `toml:",omitempty"`
}

// Document returns the set as a document, with each kind in the order of names.
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

// Set returns the objects as a set. If several objects have the same kind and name, the
// set holds the last of them; Duplicates returns their names.
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

// WithDocument returns a document with the objects of both documents; those of
// other come last.
func (d Document) WithDocument(other Document) Document {
	return Document{
		Place:   concat(d.Place, other.Place),
		Service: concat(d.Service, other.Service),
		Team:    concat(d.Team, other.Team),
		Key:     concat(d.Key, other.Key),
		Version: concat(d.Version, other.Version),
		Move:    concat(d.Move, other.Move),
		Route:   concat(d.Route, other.Route),
	}
}

// Reference identifies one object.
type Reference struct {
	// Kind is the kind of the object.
	Kind Kind
	// Name is the object's name, which is unique within the kind.
	Name string
}

// String returns the kind and the name, separated by a space.
func (r Reference) String() string {
	return string(r.Kind) + " " + r.Name
}

// Duplicates returns the objects that the document declares more than once, each of
// them once.
func (d Document) Duplicates() []Reference {
	var found []Reference
	found = append(found, duplicatesOfKind(KindPlace, d.Place)...)
	found = append(found, duplicatesOfKind(KindService, d.Service)...)
	found = append(found, duplicatesOfKind(KindTeam, d.Team)...)
	found = append(found, duplicatesOfKind(KindKey, d.Key)...)
	found = append(found, duplicatesOfKind(KindVersion, d.Version)...)
	found = append(found, duplicatesOfKind(KindMove, d.Move)...)
	found = append(found, duplicatesOfKind(KindRoute, d.Route)...)
	return found
}

// concat returns a new slice with the rows of both slices.
func concat[T any](first, second []T) []T {
	joined := make([]T, 0, len(first)+len(second))
	joined = append(joined, first...)
	return append(joined, second...)
}

// duplicatesOfKind returns a reference for each name that rows hold more than once.
func duplicatesOfKind[T Named](kind Kind, rows []T) []Reference {
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
